/** Runs an open-loop load: each job is sent at its intended time, regardless of earlier replies. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { JobClient, SubmissionReply } from './job-client.js';
import type { LoadPlan, PlannedJob } from './plan-load.js';

/** A planned job with its reply. */
export interface CompletedSubmission {
  readonly job: PlannedJob;
  readonly reply: SubmissionReply;
  /** From the intended time of submission to the complete reply. */
  readonly responseMilliseconds: Milliseconds;
}

/** Client and clock of a load. */
export interface RunLoadOptions {
  readonly client: JobClient;
  readonly timers: TimerService;
  /** Called with each reply as soon as it arrives. */
  readonly onReply?: ((submission: CompletedSubmission) => void) | undefined;
}

/** Sends all jobs of a plan and waits for all replies. */
export async function runLoad(
  plan: LoadPlan,
  { client, timers, onReply }: RunLoadOptions,
): Promise<readonly CompletedSubmission[]> {
  const start = timers.now();
  const submit = async (job: PlannedJob): Promise<CompletedSubmission> => {
    const reply = await client.submitJob(job);
    const responseMilliseconds = timers.now() - start - job.at;
    const submission = { job, reply, responseMilliseconds };
    onReply?.(submission);
    return submission;
  };
  return Promise.all(
    plan.jobs.map(
      job =>
        new Promise<CompletedSubmission>(resolve => {
          timers.after(job.at, () => {
            resolve(submit(job));
          });
        }),
    ),
  );
}

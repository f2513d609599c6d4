/** Runs an open-loop load: each job is sent at its intended time, whatever happened to earlier ones. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { JobClient, SubmissionReply } from './job-client.js';
import type { LoadPlan, PlannedJob } from './plan-load.js';

/** What became of one planned job. */
export interface CompletedSubmission {
  readonly job: PlannedJob;
  readonly reply: SubmissionReply;
  /** From the intended time of submission to the whole reply. */
  readonly responseMilliseconds: Milliseconds;
}

/** How a load is run. */
export interface RunLoadOptions {
  readonly client: JobClient;
  readonly timers: TimerService;
  /** Hears each reply as it comes. */
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

/** Submits each job to two dispatchers simultaneously and compares the replies of both. */
import { createSystemTimerService } from '@cranberryturn/timers';

import {
  type ProcessSystem,
  startProcessSystem,
} from './start-process-system.js';
import {
  composeJob,
  countStarts,
  findDoubleStarts,
  isCompleteReply,
  type SentJob,
  submitJob,
} from './submit-job.js';

const tasksPerJob = 20;
const runMilliseconds = 2;
const concurrentJobs = 4;

/** Totals over all jobs, as saved in result files. */
export interface DoubleSubmission {
  readonly jobs: number;
  readonly tasks: number;
  /** Jobs with the same complete answer for both callers. */
  readonly samePairs: number;
  /** One line for each pair of replies that differ or are incomplete. */
  readonly differences: readonly string[];
  /** Starts counted by the targets. */
  readonly starts: number;
  /** Identifiers of tasks with more than one start. */
  readonly doubleStarts: readonly string[];
}

/** Starts three control replicas, two dispatchers and three workers, and submits `jobs` jobs to both dispatchers. */
export async function runDoubleSubmission(
  jobs: number,
  seed: number,
): Promise<DoubleSubmission> {
  const system = await startProcessSystem({
    seed,
    controls: 3,
    dispatchers: 2,
    workers: 3,
    targetTimers: createSystemTimerService(),
  });
  try {
    return await submitAll(system, jobs);
  } finally {
    await system.kill();
  }
}

async function submitAll(
  system: ProcessSystem,
  jobs: number,
): Promise<DoubleSubmission> {
  const waiting = Array.from({ length: jobs }, (_, index) =>
    composeJob(`job-${String(index)}`, tasksPerJob, runMilliseconds),
  );
  const differences: string[] = [];
  const submitNext = async (): Promise<void> => {
    for (let job = waiting.pop(); job !== undefined; job = waiting.pop()) {
      differences.push(...(await submitTwice(system, job)));
    }
  };
  await Promise.all(Array.from({ length: concurrentJobs }, submitNext));
  return {
    jobs,
    tasks: jobs * tasksPerJob,
    samePairs: jobs - differences.length,
    differences,
    starts: countStarts(system),
    doubleStarts: findDoubleStarts(system),
  };
}

async function submitTwice(
  system: ProcessSystem,
  job: SentJob,
): Promise<readonly string[]> {
  const replies = await Promise.all(
    system.dispatchers.map(dispatcher => submitJob(system, dispatcher, job)),
  );
  const [first] = replies;
  const isSame = replies.every(
    reply => isCompleteReply(job, reply) && reply.text === first?.text,
  );
  if (isSame) return [];
  const texts = replies.map(({ status, text }) => `${String(status)} ${text}`);
  return [`${job.jobId}: ${texts.join(' | ')}`];
}

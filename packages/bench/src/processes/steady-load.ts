/** Closed-loop load: callers submit one job after the other and retry on the next dispatcher. */
import { createSystemTimerService, sleep } from '@cranberryturn/timers';
import { type Milliseconds, Started } from '@cranberryturn/types';

import type { ProcessSystem } from './start-process-system.js';
import type { StartedProcess } from './start-process.js';
import {
  composeJob,
  isCompleteReply,
  parseStarted,
  type SentJob,
  type SentReply,
  submitJob,
} from './submit-job.js';

const callerCount = 12;
const tasksPerJob = 4;
const minimumRunMilliseconds: Milliseconds = 20;
const maximumRunMilliseconds: Milliseconds = 120;
const retryDelayMilliseconds: Milliseconds = 50;
const maximumSubmissions = 200;

/** A job with the replies to all its submissions. */
export interface LoadedJob {
  readonly job: SentJob;
  readonly replies: readonly SentReply[];
}

/** A load that runs until it is stopped. */
export interface SteadyLoad {
  readonly finished: readonly LoadedJob[];
  /** Waits until `count` more jobs have ended. */
  waitForMore(count: number): Promise<void>;
  /** Submits no further jobs and waits for those in flight. */
  stop(): Promise<void>;
}

/** Starts the callers. `choose` is called for each submission and returns the dispatchers to use. */
export function startSteadyLoad(
  system: ProcessSystem,
  choose: () => readonly StartedProcess[],
): SteadyLoad {
  const timers = createSystemTimerService();
  const finished: LoadedJob[] = [];
  let isStopping = false;

  const runCaller = async (caller: number): Promise<void> => {
    for (let turn = 0; !isStopping; turn += 1) {
      const span = maximumRunMilliseconds - minimumRunMilliseconds;
      const run = minimumRunMilliseconds + ((caller * 37 + turn * 17) % span);
      const name = `load-${String(caller)}-${String(turn)}`;
      const job = composeJob(name, tasksPerJob, run);
      const replies = await submitUntilFinal(
        system,
        job,
        choose,
        caller + turn,
      );
      finished.push({ job, replies });
    }
  };

  const running = Promise.all(
    Array.from({ length: callerCount }, (_, caller) => runCaller(caller)),
  );
  return {
    finished,
    waitForMore: async count => {
      const wanted = finished.length + count;
      while (finished.length < wanted)
        await sleep(timers, retryDelayMilliseconds);
    },
    stop: async () => {
      isStopping = true;
      await running;
    },
  };
}

/** Submits a job until it is complete or was possibly started; retries refusals and lost connections. */
async function submitUntilFinal(
  system: ProcessSystem,
  job: SentJob,
  choose: () => readonly StartedProcess[],
  turn: number,
): Promise<readonly SentReply[]> {
  const timers = createSystemTimerService();
  const replies: SentReply[] = [];
  while (replies.length < maximumSubmissions) {
    const dispatchers = choose();
    const position = (turn + replies.length) % dispatchers.length;
    const dispatcher = dispatchers[position];
    if (dispatcher === undefined) break;
    const reply = await submitJob(system, dispatcher, job);
    replies.push(reply);
    if (isFinal(job, reply)) break;
    await sleep(timers, retryDelayMilliseconds);
  }
  return replies;
}

function isFinal(job: SentJob, reply: SentReply): boolean {
  if (isCompleteReply(job, reply)) return true;
  const started = parseStarted(reply);
  return started === Started.Perhaps || started === Started.Yes;
}

/** Lists the jobs whose last reply is not complete. */
export function listFailedJobs(jobs: readonly LoadedJob[]): string[] {
  return jobs.flatMap(({ job, replies }) => {
    const last = replies.at(-1);
    if (last !== undefined && isCompleteReply(job, last)) return [];
    return [`${job.jobId}: ${JSON.stringify(replies.slice(-2))}`];
  });
}

/** Lists replies that failed after the connection was established. */
export function listBrokenReplies(jobs: readonly LoadedJob[]): string[] {
  return jobs.flatMap(({ job, replies }) =>
    replies
      .filter(
        ({ status, text }) => status === 0 && !text.includes('ECONNREFUSED'),
      )
      .map(({ text }) => `${job.jobId}: ${text}`),
  );
}

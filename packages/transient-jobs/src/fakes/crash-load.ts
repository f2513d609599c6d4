/** Load of three queues, in one of which a share of the jobs has a task that crashes its worker. */
import { drawFromHash } from '../scarcity/hash-draw.js';
import type { SubmittedJob } from '../transient-jobs-options.js';
import { TransientJobEndKind } from '../transient-job.js';
import { type CrashRecord, crashOnStart } from './crash-on-start.js';
import { getItem } from './get-item.js';
import { createJob, createQueue, type JobsFixture } from './jobs-fixture.js';

interface QueueLoad {
  readonly queue: string;
  readonly priority: number;
  readonly tasks: number;
  readonly runMilliseconds: number;
  readonly intervalMilliseconds: number;
}

const loads: readonly QueueLoad[] = [
  {
    queue: 'lookups',
    priority: 0,
    tasks: 8,
    runMilliseconds: 86,
    intervalMilliseconds: 42,
  },
  {
    queue: 'statuses',
    priority: 2,
    tasks: 4,
    runMilliseconds: 1_286,
    intervalMilliseconds: 290,
  },
  {
    queue: 'summaries',
    priority: 1,
    tasks: 2,
    runMilliseconds: 286,
    intervalMilliseconds: 32,
  },
];

/** Results of the callers of one queue whose jobs have no deadly task. */
export interface QueueResult {
  jobs: number;
  completedInTime: number;
  completedLate: number;
  failed: number;
  refused: number;
}

/** Results of a load. */
export interface CrashLoadResult {
  readonly crashes: CrashRecord;
  /** Results by queue of the jobs that were submitted during the crashes. */
  readonly queues: Readonly<Record<string, QueueResult>>;
  /** Time from the submission of each job with a deadly task to its end. */
  readonly deadlyMilliseconds: readonly number[];
}

/** Plays the load: three seconds without deadly tasks, then `crashMilliseconds` with them. */
export async function playCrashLoad(
  fixture: JobsFixture,
  options: {
    readonly deadlyQueues: readonly string[];
    readonly deadlyShare: number;
    readonly crashMilliseconds: number;
    /** Index of the deadly task in its job; 3 by default. */
    readonly deadlyTask?: number | undefined;
    /** Whether a worker also crashes if the deadly run was stopped shortly before. */
    readonly crashesAfterStop?: boolean | undefined;
    /** Changes which jobs have a deadly task. */
    readonly seed?: string | undefined;
  },
): Promise<CrashLoadResult> {
  const { timers, dispatchers } = fixture;
  const { seed = '', deadlyTask = 3 } = options;
  const queues: Record<string, QueueResult> = {};
  const deadlyMilliseconds: number[] = [];
  const runTimes = new Map(
    loads.map(({ queue, runMilliseconds }) => [queue, runMilliseconds]),
  );
  const crashes = crashOnStart(
    fixture,
    ({ jobId, taskId }) =>
      jobId.startsWith('deadly') && taskId.endsWith(`.${String(deadlyTask)}`),
    ({ jobId }) => runTimes.get(jobId.split(':')[1] ?? '') ?? 100,
    options.crashesAfterStop,
  );
  const crashesFrom = timers.now() + warmUpMilliseconds;

  const record = (
    { queue, runMilliseconds }: QueueLoad,
    submitted: SubmittedJob,
    isDeadly: boolean,
  ): void => {
    const submittedAt = timers.now();
    if (submittedAt < crashesFrom) return;
    const result = (queues[queue] ??= {
      jobs: 0,
      completedInTime: 0,
      completedLate: 0,
      failed: 0,
      refused: 0,
    });
    if (!isDeadly) result.jobs += 1;
    void submitted.ended.then(({ kind }) => {
      const elapsedMilliseconds = timers.now() - submittedAt;
      if (isDeadly) deadlyMilliseconds.push(elapsedMilliseconds);
      else if (kind === TransientJobEndKind.Failed) result.failed += 1;
      else if (kind === TransientJobEndKind.Refused) result.refused += 1;
      else if (kind !== TransientJobEndKind.Completed) return;
      else if (elapsedMilliseconds <= 1.6 * runMilliseconds + 60)
        result.completedInTime += 1;
      else result.completedLate += 1;
    });
  };

  let jobs = 0;
  const submit = (load: QueueLoad): void => {
    jobs += 1;
    const { queue, priority, tasks, runMilliseconds } = load;
    const isDeadly =
      timers.now() >= crashesFrom &&
      options.deadlyQueues.includes(queue) &&
      drawFromHash(`${seed}${String(jobs)}`) < options.deadlyShare;
    const job = createJob(
      `${isDeadly ? 'deadly' : 'sound'}:${queue}:${String(jobs)}`,
      tasks,
      {
        queue: createQueue({ queue, priority, pathPrefix: `/${queue}/` }),
        deadlineMilliseconds: 3 * (1.6 * runMilliseconds + 60) + 1_000,
        step: { estimatedMilliseconds: runMilliseconds },
      },
    );
    const dispatcher = getItem(dispatchers, jobs % dispatchers.length);
    record(load, dispatcher.jobs.submit(job), isDeadly);
  };

  const submissions = loads.map(load =>
    timers.every(load.intervalMilliseconds, () => {
      submit(load);
    }),
  );
  await timers.advance(warmUpMilliseconds + options.crashMilliseconds);
  for (const submission of submissions) submission.cancel();
  await timers.advance(settleMilliseconds);
  return { crashes, queues, deadlyMilliseconds };
}

const warmUpMilliseconds = 3_000;
const settleMilliseconds = 8_000;

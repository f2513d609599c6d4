/**
 * Prints the processor time of one admission, without and with admission under scarcity, by number of workers.
 *
 * Usage: `node packages/transient-jobs/dist/measures/measure-admission-cost.js`
 */
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';

import { type ChosenWorker, chooseWorkers } from '../choose-workers.js';
import { createJob, createQueue, oneProcessor } from '../fakes/create-job.js';
import { findJobRefusal } from '../find-job-refusal.js';
import { createKnownWorker, type KnownWorker } from '../known-worker.js';
import { ScarcityControl } from '../scarcity/scarcity-control.js';
import { defaultScarcitySettings } from '../scarcity/scarcity-settings.js';
import type { TransientJob } from '../transient-job.js';
import { type JobKind, jobKinds } from './scarce-load.js';

const workerCounts = [53, 66, 160, 1_600] as const;
const rounds = 9;
const microsecondsPerMillisecond = 1_000;
/** Jobs of one round; fewer for many workers, as a round of them takes longer. */
const jobsTimesWorkers = 160_000;
/** Time between two jobs at one of five dispatchers that get 590 jobs a second. */
const gapMilliseconds = 8;

function createWorker(number: number, random: RandomSource): KnownWorker {
  const name = `worker-${String(number)}`;
  return createKnownWorker(
    {
      workerId: name,
      incarnation: name,
      service: 'register',
      capacity: { processors: 15, memoryMebibytes: 65_536, accelerators: 0 },
      labels: [],
      dataCentre: 'dong-da',
    },
    {
      free: { processors: 0, memoryMebibytes: 9_000, accelerators: 0 },
      waitingWork: [0, 0, random.below(4_000), 0],
      startedWork: [2, 5, 6, 0],
      runningWork: 4_000 + random.below(4_000),
      closed: false,
    },
    0,
  );
}

function composeJob(kind: JobKind, number: number): TransientJob {
  const { queue, priority, widths, milliseconds } = kind;
  const tasks = widths[number % widths.length] ?? 1;
  return createJob(`${queue}-${String(number)}`, tasks, {
    queue: createQueue({ queue, priority }),
    step: { estimatedMilliseconds: milliseconds },
  });
}

function admit(
  job: TransientJob,
  workers: readonly KnownWorker[],
  random: RandomSource,
  timers: ManualTimerService,
  scarcity: ScarcityControl | undefined,
): void {
  const [step] = job.steps;
  if (step === undefined) return;
  const chosen: readonly ChosenWorker[] = chooseWorkers(
    {
      step: { ...step, need: oneProcessor },
      priority: job.queue.priority,
      estimateMilliseconds: step.estimatedMilliseconds,
      tasks: step.tasks,
      dataCentre: 'dong-da',
      remoteFactor: 1.5,
      excludedWorkers: new Set(),
      probesFailedWorkers: scarcity !== undefined,
      placedTasks: new Map(),
    },
    workers,
    random,
    timers.now(),
  );
  const longestWaitMilliseconds = Math.max(
    0,
    ...chosen.map(one => one.waitMilliseconds),
  );
  findJobRefusal(
    {
      job,
      criticalPathMilliseconds: step.estimatedMilliseconds,
      priority: job.queue.priority,
    },
    { plans: [], longestWaitMilliseconds, isComplete: true },
    [...workers],
    scarcity,
  );
}

/** Microseconds of one admission in one round. */
async function measureRound(
  workers: readonly KnownWorker[],
  isEnabled: boolean,
): Promise<number> {
  const timers = createManualTimerService();
  const random = createRandomSource(1);
  const scarcity = isEnabled
    ? new ScarcityControl({
        scarcity: defaultScarcitySettings,
        timers,
        logger: createSilentLogger(),
        metrics: createMetrics({ role: 'dispatcher', process: 'one', timers }),
      })
    : undefined;
  const count = Math.round(jobsTimesWorkers / workers.length);
  let milliseconds = 0;
  for (let number = 0; number < count; number += 1) {
    await timers.advance(gapMilliseconds);
    for (const known of workers) known.lastHeardAt = timers.now();
    const kind = jobKinds[number % jobKinds.length];
    if (kind === undefined) continue;
    const job = composeJob(kind, number);
    const start = performance.now();
    admit(job, workers, random, timers, scarcity);
    milliseconds += performance.now() - start;
  }
  return (milliseconds / count) * microsecondsPerMillisecond;
}

function median(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

for (const count of workerCounts) {
  const random = createRandomSource(count);
  const workers = Array.from({ length: count }, (_, number) =>
    createWorker(number, random),
  );
  const without: number[] = [];
  const withScarcity: number[] = [];
  // The two are measured in turn, so that other load of the machine affects both.
  for (let round = 0; round < rounds; round += 1) {
    without.push(await measureRound(workers, false));
    withScarcity.push(await measureRound(workers, true));
  }
  const before = median(without);
  const after = median(withScarcity);
  process.stdout.write(
    `${String(count)} workers: ${before.toFixed(1)} microseconds without, ${after.toFixed(1)} with (${((after / before - 1) * 100).toFixed(1)} %)\n`,
  );
}

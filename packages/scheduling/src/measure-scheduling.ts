/** Measures the starts a second that the scheduler alone decides on one core. */
import type { TimerService } from '@cranberryturn/timers';
import {
  AttemptOutcome,
  type AttemptResult,
  type AttemptStart,
  type TargetIdentity,
  type TargetRecord,
} from '@cranberryturn/types';

import { createScheduler } from './create-scheduler.js';
import { type Scheduler, TaskPlanKind } from './ports/scheduler.js';

/** Size of the simulated cluster and the number of jobs. */
export interface SchedulingLoad {
  readonly targets: number;
  /** Slots of each target. */
  readonly slots: number;
  /** Jobs, each of one task. */
  readonly jobs: number;
}

/** The measured load and its rate of starts. */
export interface SchedulingMeasurement extends SchedulingLoad {
  readonly startsPerSecond: number;
}

const millisecondsPerSecond = 1_000;
const busyFraction = 0.9;
const runMilliseconds = 100;
const rackCount = 100;

interface RunningAttempt {
  readonly target: TargetIdentity;
  readonly attempt: AttemptStart;
}

/** Admits, places and ends jobs one after the other while nine tenths of the slots are in use. */
export function measureScheduling(
  timers: TimerService,
  load: SchedulingLoad,
): SchedulingMeasurement {
  const running: (RunningAttempt | undefined)[] = [];
  const scheduler = createScheduler({
    dispatcherId: 'dispatcher-1',
    timers,
    seed: 1,
    decisions: () => undefined,
    observer: { taskEnded: () => undefined },
    sender: {
      startAttempt: (target, attempt) => running.push({ target, attempt }),
      cancelAttempts: () => undefined,
    },
  });
  for (let number = 0; number < load.targets; number += 1)
    scheduler.targetRegistered(describeTarget(number, load.slots), {
      freeSlots: load.slots,
      queuedTasks: 0,
      draining: false,
    });
  const busySlots = Math.floor(load.targets * load.slots * busyFraction);
  const startedAt = timers.now();
  let oldest = 0;
  for (let number = 0; number < load.jobs; number += 1) {
    submitJob(scheduler, `job-${String(number)}`);
    if (running.length - oldest <= busySlots) continue;
    const ending = running[oldest];
    running[oldest] = undefined;
    oldest += 1;
    if (ending === undefined) continue;
    scheduler.attemptEnded(ending.target, describeAnswer(ending.attempt));
  }
  const elapsedMilliseconds = timers.now() - startedAt;
  scheduler.stop();
  return {
    ...load,
    startsPerSecond:
      (running.length * millisecondsPerSecond) / elapsedMilliseconds,
  };
}

function submitJob(scheduler: Scheduler, jobId: string): void {
  const admitted = scheduler.admitJob({
    jobId,
    service: 'register',
    team: 'planning',
    tasks: [{ taskId: 'task', payload: '1' }],
    idempotent: false,
    deadlineMilliseconds: 60_000,
  });
  if (admitted.isErr()) return;
  scheduler.startJob(jobId, { epoch: 1, registeredUpTo: undefined }, [
    { kind: TaskPlanKind.Place, taskId: 'task' },
  ]);
}

function describeAnswer(start: AttemptStart): AttemptResult {
  const { jobId, taskId, attempt, epoch } = start;
  return {
    jobId,
    taskId,
    attempt,
    epoch,
    outcome: AttemptOutcome.Answered,
    answer: '1',
    runMilliseconds,
  };
}

function describeTarget(number: number, slots: number): TargetRecord {
  return {
    targetId: `worker-${String(number)}`,
    incarnation: 'run-1',
    service: 'register',
    host: `host-${String(number)}`,
    rack: `rack-${String(number % rackCount)}`,
    dataCentre: 'one',
    resources: { processors: 64, memoryMebibytes: 1_024, accelerators: 0 },
    slots,
    connections: 64,
    registeredAt: number + 1,
  };
}

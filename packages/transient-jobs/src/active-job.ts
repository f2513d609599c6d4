/** A transient job in progress. */
import type { TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds, TargetId, TaskId } from '@cranberryturn/types';

import type { TransientJob, TransientJobEnd } from './transient-job.js';

/** Where a task stands. */
export enum TaskPhase {
  Waiting = 'waiting',
  /** A run of it waits or is at work at a worker. */
  Placed = 'placed',
  Done = 'done',
}

/** A task that was given back this often for want of room waits at the next worker: each time costs a round trip. */
export const mostReturns = 3;

/** One task. */
export interface ActiveTask {
  readonly job: ActiveJob;
  readonly taskId: TaskId;
  readonly step: number;
  phase: TaskPhase;
  /** Number of the newest run. */
  run: number;
  failures: number;
  /** How often a worker without room gave it back. */
  returns: number;
  /** Whether the newest run was expected to wait at its worker, and has not been asked back. */
  isWaiting: boolean;
  /** Where the newest run is. */
  workerId: TargetId | undefined;
  /** When the newest run was sent there. */
  placedAt: Milliseconds;
  /** Expected run time of the newest run there. */
  expectedMilliseconds: Milliseconds;
  /** Workers where the task failed or was refused. */
  readonly excluded: Set<TargetId>;
}

/** One job. */
export interface ActiveJob {
  readonly job: TransientJob;
  readonly admittedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  /** When it should have ended. */
  readonly dueAt: Milliseconds;
  readonly tasks: readonly ActiveTask[];
  /** Callers that wait for it. */
  callers: number;
  end: TransientJobEnd | undefined;
  expiry: TimerSubscription | undefined;
  readonly settle: (end: TransientJobEnd) => void;
  readonly ended: Promise<TransientJobEnd>;
}

/** Creates a job with all of its tasks waiting; `earlierRuns` is the highest number of a run of an earlier submission. */
export function createActiveJob(
  job: TransientJob,
  now: Milliseconds,
  objective: Milliseconds,
  earlierRuns: number,
): ActiveJob {
  const tasks: ActiveTask[] = [];
  const { promise, resolve } = createDeferred<TransientJobEnd>();
  const active: ActiveJob = {
    job,
    admittedAt: now,
    deadlineAt: now + job.deadlineMilliseconds - job.heldMilliseconds,
    dueAt: now + objective - job.heldMilliseconds,
    tasks,
    callers: 0,
    end: undefined,
    expiry: undefined,
    settle: resolve,
    ended: promise,
  };
  job.steps.forEach((step, number) => {
    for (let index = 0; index < step.tasks; index += 1) {
      tasks.push(createTask(active, number, index, earlierRuns));
    }
  });
  return active;
}

function createTask(
  job: ActiveJob,
  step: number,
  index: number,
  run: number,
): ActiveTask {
  return {
    job,
    taskId: composeTaskId(step, index),
    step,
    phase: TaskPhase.Waiting,
    run,
    failures: 0,
    returns: 0,
    isWaiting: false,
    workerId: undefined,
    placedAt: 0,
    expectedMilliseconds: 0,
    excluded: new Set(),
  };
}

/** Jobs without repetition have one occurrence. */
const onlyOccurrence = 0;

function composeTaskId(step: number, index: number): TaskId {
  return `${String(onlyOccurrence)}.${String(step)}.${String(index)}`;
}

function createDeferred<Value>(): {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
} {
  let resolve: (value: Value) => void = () => undefined;
  const promise = new Promise<Value>(settle => {
    resolve = settle;
  });
  return { promise, resolve };
}

/** Steps whose earlier steps are all done, with their waiting tasks. */
export function listReadyTasks(
  active: ActiveJob,
): ReadonlyMap<number, readonly ActiveTask[]> {
  const unfinished = new Set<number>();
  for (const task of active.tasks) {
    if (task.phase !== TaskPhase.Done) unfinished.add(task.step);
  }
  const ready = new Map<number, ActiveTask[]>();
  for (const task of active.tasks) {
    if (task.phase !== TaskPhase.Waiting) continue;
    const after = active.job.steps[task.step]?.after ?? [];
    if (after.some(step => unfinished.has(step))) continue;
    const tasks = ready.get(task.step) ?? [];
    tasks.push(task);
    ready.set(task.step, tasks);
  }
  return ready;
}

/** Tasks of the job that are at each worker. */
export function listTasksByWorker(
  active: ActiveJob,
): ReadonlyMap<TargetId, readonly TaskId[]> {
  const byWorker = new Map<TargetId, TaskId[]>();
  for (const { phase, workerId, taskId } of active.tasks) {
    if (phase !== TaskPhase.Placed || workerId === undefined) continue;
    const tasks = byWorker.get(workerId) ?? [];
    tasks.push(taskId);
    byWorker.set(workerId, tasks);
  }
  return byWorker;
}

/** Longest chain of expected run times over the steps. */
export function computeChain(
  job: TransientJob,
  estimate: (declared: Milliseconds) => Milliseconds,
): Milliseconds {
  const ends: Milliseconds[] = [];
  for (const step of job.steps) {
    const begin = Math.max(0, ...step.after.map(other => ends[other] ?? 0));
    ends.push(begin + estimate(step.estimatedMilliseconds));
  }
  return Math.max(0, ...ends);
}

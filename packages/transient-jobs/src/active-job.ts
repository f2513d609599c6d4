/** State of a transient job in progress and of its tasks. */
import type { TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds, TargetId, TaskId } from '@cranberryturn/types';

import { computeObjective } from './decide-admission.js';
import type { SessionNumber } from './sidecar-session.js';
import type { TransientJob, TransientJobEnd } from './transient-job.js';

/** Phase of a task. */
export enum TaskPhase {
  Waiting = 'waiting',
  /** Capacity was requested for the task. */
  Requested = 'requested',
  /** A run of the task is queued or active at a worker. */
  Placed = 'placed',
  Done = 'done',
}

/** After this many returns for lack of capacity, a task is queued at the next worker: each return costs a round trip. */
export const maximumReturns = 3;

/** State of one task. */
export interface ActiveTask {
  readonly job: ActiveJob;
  readonly taskId: TaskId;
  readonly step: number;
  phase: TaskPhase;
  /** Number of the latest run. */
  run: number;
  failures: number;
  /** Number of returns by workers without free capacity. */
  returns: number;
  /** Whether the latest run was expected to be queued at its worker and was not recalled. */
  isWaiting: boolean;
  /** Worker of the latest run; undefined once that run has ended. */
  workerId: TargetId | undefined;
  /** Session with the sidecar of the latest run; undefined once that run has ended. */
  sessionNumber: SessionNumber | undefined;
  /** When the latest run was sent to its worker. */
  placedAt: Milliseconds;
  /** Expected run time of the latest run on a worker of average speed. */
  expectedMilliseconds: Milliseconds;
  /** Workers where the task failed, stalled or was refused for a wrong service; used only when no other is left. */
  readonly excludedWorkers: Set<TargetId>;
}

/** State of one job. */
export interface ActiveJob {
  readonly job: TransientJob;
  readonly admittedAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  /** When the job should end to meet its response time objective. */
  readonly dueAt: Milliseconds;
  /** Expected run time of the longest dependent chain of steps. */
  readonly criticalPathMilliseconds: Milliseconds;
  readonly tasks: readonly ActiveTask[];
  /** Priority of its orders: that of its queue, or less urgent for a job that only gets left-over capacity. */
  priority: number;
  /** Whether the job was admitted; it is not while the first request for capacity is open. */
  isAdmitted: boolean;
  /** Whether a task of the job was ever placed: a refusal would not be true any more. */
  mayHaveStarted: boolean;
  /** Number of callers that wait for the job. */
  callers: number;
  end: TransientJobEnd | undefined;
  expiry: TimerSubscription | undefined;
  readonly resolveEnd: (end: TransientJobEnd) => void;
  readonly ended: Promise<TransientJobEnd>;
}

/**
 * Creates the state of a job with all tasks waiting. `highestEarlierRun` is the highest run number of an
 * earlier submission; run numbers go on from there, since workers reject numbers that they have seen.
 */
export function createActiveJob(
  job: TransientJob,
  now: Milliseconds,
  criticalPathMilliseconds: Milliseconds,
  highestEarlierRun: number,
): ActiveJob {
  const tasks: ActiveTask[] = [];
  const objectiveMilliseconds = computeObjective(
    job.queue,
    criticalPathMilliseconds,
  );
  const { promise, resolve } = createDeferred<TransientJobEnd>();
  const active: ActiveJob = {
    job,
    admittedAt: now,
    deadlineAt: now + job.deadlineMilliseconds - job.heldMilliseconds,
    dueAt: now + objectiveMilliseconds - job.heldMilliseconds,
    criticalPathMilliseconds,
    tasks,
    priority: job.queue.priority,
    isAdmitted: false,
    mayHaveStarted: false,
    callers: 0,
    end: undefined,
    expiry: undefined,
    resolveEnd: resolve,
    ended: promise,
  };
  job.steps.forEach((step, number) => {
    for (let index = 0; index < step.tasks; index += 1) {
      tasks.push(createTask(active, number, index, highestEarlierRun));
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
    sessionNumber: undefined,
    placedAt: 0,
    expectedMilliseconds: 0,
    excludedWorkers: new Set(),
  };
}

/** Task identifiers begin with an occurrence; transient jobs have a single one. */
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

/** Waiting tasks by step, for the steps whose earlier steps are all done. */
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

/** Placed tasks of the job by the session with the sidecar that has them. */
export function listTasksBySession(
  active: ActiveJob,
): ReadonlyMap<SessionNumber, readonly TaskId[]> {
  const bySession = new Map<SessionNumber, TaskId[]>();
  for (const { phase, sessionNumber, taskId } of active.tasks) {
    if (phase !== TaskPhase.Placed || sessionNumber === undefined) continue;
    const tasks = bySession.get(sessionNumber) ?? [];
    tasks.push(taskId);
    bySession.set(sessionNumber, tasks);
  }
  return bySession;
}

/** Expected run time of the longest dependent chain of steps, in milliseconds. */
export function computeCriticalPath(
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

/** Notes that no run of a task is placed at a worker. */
export function clearWorker(task: ActiveTask): void {
  task.workerId = undefined;
  task.sessionNumber = undefined;
}

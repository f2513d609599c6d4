/** One run that waits for a worker or is at work there. */
import {
  type DispatcherId,
  type JobId,
  type Milliseconds,
  type RunEnd,
  type RunEndReason,
  type RunOrder,
  type RunOutcome,
  type TaskId,
} from '@cranberryturn/types';

import { nameTask } from './ports/worker.js';

/** Where a run stands. */
export enum RunPhase {
  Waiting = 'waiting',
  /** The worker was asked to start it and has not answered. */
  Starting = 'starting',
  Running = 'running',
  Ended = 'ended',
}

/** One run. */
export interface ActiveRun {
  /** Name of the task. */
  readonly task: string;
  readonly taskId: TaskId;
  readonly order: RunOrder;
  readonly dispatcher: DispatcherId;
  /** Number that the dispatcher gave the run. */
  readonly ordered: number;
  /** Number under which the worker knows it; raised when the worker has seen a later one. */
  run: number;
  phase: RunPhase;
  readonly receivedAt: Milliseconds;
  readonly dueAt: Milliseconds;
  readonly expiresAt: Milliseconds;
  startedAt: Milliseconds;
  /** Set once the run is to be stopped. */
  stopReason: RunEndReason | undefined;
  /** Whether an order to stop it is on its way. */
  stopping: boolean;
  /** Part of the work that is done, as the worker told last. */
  progress: number;
  /** When the progress last grew. */
  progressAt: Milliseconds;
  /** Expected end, from its progress; undefined before there is any. */
  expectedEndAt: Milliseconds | undefined;
  /** When the dispatcher last heard that the run stands still. */
  stillReportedAt: Milliseconds;
  /** Answers of the worker in a row in which the run was missing. */
  missing: number;
}

/** The runs of a dispatcher: all, those of a job, or some tasks of it. */
export interface RunSelection {
  readonly dispatcher: DispatcherId;
  readonly jobId?: JobId;
  readonly taskIds?: readonly TaskId[];
}

/** Whether the selection contains the run. */
export function isSelected(
  { order, dispatcher, taskId }: ActiveRun,
  selection: RunSelection,
): boolean {
  const { jobId, taskIds } = selection;
  if (dispatcher !== selection.dispatcher) return false;
  if (jobId !== undefined && order.jobId !== jobId) return false;
  return taskIds === undefined || taskIds.includes(taskId);
}

/** Creates the runs of an order. */
export function createRuns(order: RunOrder, now: Milliseconds): ActiveRun[] {
  return order.tasks.map(({ taskId, run }) => ({
    task: nameTask(order.jobId, taskId),
    taskId,
    order,
    dispatcher: order.dispatcher,
    ordered: run,
    run,
    phase: RunPhase.Waiting,
    receivedAt: now,
    dueAt: now + order.dueMilliseconds,
    expiresAt: now + order.remainingMilliseconds,
    startedAt: now,
    stopReason: undefined,
    stopping: false,
    progress: 0,
    progressAt: now,
    expectedEndAt: undefined,
    stillReportedAt: -Infinity,
    missing: 0,
  }));
}

/** Describes the end of a run to its dispatcher. */
export function describeEnd(
  run: ActiveRun,
  outcome: RunOutcome,
  reason: RunEndReason | undefined,
  now: Milliseconds,
): RunEnd {
  const wasAtWork = run.phase === RunPhase.Running;
  return {
    jobId: run.order.jobId,
    taskId: run.taskId,
    run: run.ordered,
    requestId: run.order.requestId,
    outcome,
    reason,
    waitedMilliseconds: (wasAtWork ? run.startedAt : now) - run.receivedAt,
    runMilliseconds: wasAtWork ? now - run.startedAt : 0,
  };
}

/** Estimated processor-milliseconds that a run still needs. */
export function estimateWork(run: ActiveRun, now: Milliseconds): number {
  const { estimatedMilliseconds, need } = run.order;
  if (run.phase === RunPhase.Waiting) {
    return estimatedMilliseconds * need.processors;
  }
  const expectedEnd =
    run.expectedEndAt ?? run.startedAt + estimatedMilliseconds;
  const left = expectedEnd - now;
  return (
    Math.max(left, estimatedMilliseconds * leastPartLeft) * need.processors
  );
}

/** A run that takes longer than estimated is expected to need this part of the estimate on top. */
const leastPartLeft = 0.2;

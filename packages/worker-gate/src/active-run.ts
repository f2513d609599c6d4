/** State of one run that is queued or active on a worker. */
import {
  type DispatcherId,
  type JobId,
  type Milliseconds,
  type RunEnd,
  type RunEndReason,
  type RunOrder,
  RunOutcome,
  type TaskId,
} from '@cranberryturn/types';

import type { DispatcherLease } from './dispatcher-leases.js';
import { nameTask } from './ports/worker.js';

/** Phase of a run. */
export enum RunPhase {
  /** The messages that arrived together with its order are still being handled; one of them may stop the run. */
  Arrived = 'arrived',
  Waiting = 'waiting',
  /** The worker was asked to start the run and has not replied. */
  Starting = 'starting',
  Running = 'running',
  Ended = 'ended',
}

/** State of one run. */
export interface ActiveRun {
  /** Name of the task over all its runs (see `nameTask`). */
  readonly task: string;
  readonly taskId: TaskId;
  readonly order: RunOrder;
  readonly dispatcher: DispatcherId;
  /** The lease of the dispatcher process that ordered the run; once the run has to stop, the lease as it was then. */
  lease: DispatcherLease;
  /** Run number that the dispatcher assigned. */
  readonly orderedRun: number;
  /** Run number sent to the worker; raised when the worker has seen a later run of the task. */
  run: number;
  phase: RunPhase;
  readonly receivedAt: Milliseconds;
  readonly dueAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  startedAt: Milliseconds;
  /** The latest deadline of its start orders on the clock of the worker; undefined before the first order. */
  orderDeadline: Milliseconds | undefined;
  /** When the worker was first known to have the run: it accepted the start order, or listed the run. */
  confirmedAt: Milliseconds | undefined;
  /** Set once the run has to stop. */
  stopReason: RunEndReason | undefined;
  /** Whether a stop order is being sent. */
  isStopping: boolean;
  /** Progress from 0 to 1, by the latest report of the worker. */
  progress: number;
  /** When the progress last increased. */
  lastProgressAt: Milliseconds;
  /** Expected end by the progress so far; undefined while the progress is too small. */
  expectedEndAt: Milliseconds | undefined;
  /** When the run was last reported to its dispatcher as stalled. */
  stallReportedAt: Milliseconds;
  /** Number of consecutive status reports of the worker without the run. */
  missingReports: number;
}

/** Selects runs: all of them, those of a dispatcher, of one of its jobs, or of some tasks of that job. */
export interface RunSelection {
  readonly dispatcher?: DispatcherId;
  readonly jobId?: JobId;
  readonly taskIds?: readonly TaskId[];
}

/** Whether the selection contains the run. */
export function isSelected(
  { order, dispatcher, taskId }: ActiveRun,
  selection: RunSelection,
): boolean {
  const { jobId, taskIds } = selection;
  const isOfOther =
    selection.dispatcher !== undefined && dispatcher !== selection.dispatcher;
  if (isOfOther) return false;
  if (jobId !== undefined && order.jobId !== jobId) return false;
  return taskIds === undefined || taskIds.includes(taskId);
}

/** Creates the runs of an order that arrived at `now` under the lease of its dispatcher. */
export function createRuns(
  order: RunOrder,
  lease: DispatcherLease,
  now: Milliseconds,
): ActiveRun[] {
  return order.tasks.map(({ taskId, run }) => ({
    task: nameTask(order.jobId, taskId),
    taskId,
    order,
    dispatcher: order.dispatcher,
    lease,
    orderedRun: run,
    run,
    phase: RunPhase.Arrived,
    receivedAt: now,
    dueAt: now + order.dueMilliseconds,
    deadlineAt: now + order.remainingMilliseconds,
    startedAt: now,
    orderDeadline: undefined,
    confirmedAt: undefined,
    stopReason: undefined,
    isStopping: false,
    progress: 0,
    lastProgressAt: now,
    expectedEndAt: undefined,
    stallReportedAt: -Infinity,
    missingReports: 0,
  }));
}

/**
 * Records that a run has to stop. Its lease is not renewed any more: renewals for the other runs of its worker must not keep
 * it active while its stop orders are unanswered, as its caller may send the job again.
 */
export function requestStop(run: ActiveRun, reason: RunEndReason): void {
  run.stopReason ??= reason;
  run.lease = { echo: run.lease.echo };
}

/** Creates the reports that no run of an order was started, nor will be. */
export function createRefusals(
  { jobId, requestId, tasks }: RunOrder,
  reason: RunEndReason,
): readonly RunEnd[] {
  return tasks.map(({ taskId, run }) => ({
    jobId,
    taskId,
    run,
    requestId,
    outcome: RunOutcome.NotStarted,
    reason,
    waitedMilliseconds: 0,
    runMilliseconds: 0,
  }));
}

/** Creates the report to the dispatcher that a run has ended. */
export function createRunEnd(
  run: ActiveRun,
  outcome: RunOutcome,
  reason: RunEndReason | undefined,
  now: Milliseconds,
): RunEnd {
  const wasRunning = run.phase === RunPhase.Running;
  return {
    jobId: run.order.jobId,
    taskId: run.taskId,
    run: run.orderedRun,
    requestId: run.order.requestId,
    outcome,
    reason,
    waitedMilliseconds: (wasRunning ? run.startedAt : now) - run.receivedAt,
    runMilliseconds: wasRunning ? now - run.startedAt : 0,
  };
}

/** Estimated remaining work of a run, in processor-milliseconds. */
export function estimateRemainingWork(
  run: ActiveRun,
  now: Milliseconds,
): number {
  const { estimatedMilliseconds, need } = run.order;
  if (run.phase === RunPhase.Arrived || run.phase === RunPhase.Waiting) {
    return estimatedMilliseconds * need.processors;
  }
  const expectedEndAt =
    run.expectedEndAt ?? run.startedAt + estimatedMilliseconds;
  const remainingMilliseconds = expectedEndAt - now;
  return (
    Math.max(
      remainingMilliseconds,
      estimatedMilliseconds * minimumRemainingShare,
    ) * need.processors
  );
}

/** Minimum remaining work of an active run as a share of its estimate, for runs that exceed the estimate. */
const minimumRemainingShare = 0.2;

/** Starts one run on a worker, and resolves start orders without a reply. */
import type { Milliseconds } from '@cranberryturn/types';
import { RunEndReason } from '@cranberryturn/types';

import { type ActiveRun, RunPhase } from './active-run.js';
import { computeOrderValidity, type OrderValidity } from './order-validity.js';
import { WorkerRefusal, type WorkerReply } from './ports/worker.js';
import { EvidenceKind } from './run-evidence.js';
import { stopRun } from './stop-run.js';
import type { WorkerExecutor } from './worker-executor.js';

const maximumAttempts = 5;
const unhealthyPauseMilliseconds: Milliseconds = 200;
const noRoomPauseMilliseconds: Milliseconds = 20;

/** Starts a run whose capacity is already reserved. Resolves when the run is active, ended or queued again. */
export async function startRun(
  executor: WorkerExecutor,
  run: ActiveRun,
): Promise<void> {
  for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
    // An order that the worker has refused so far has started nothing.
    if (executor.options.evacuations.isClosed()) {
      endNotStarted(executor, run, RunEndReason.Evacuated);
      return;
    }
    const validity = computeOrderValidity(executor);
    if (validity === undefined) {
      endNotStarted(executor, run, RunEndReason.DispatcherSilent);
      return;
    }
    const { fencing, port } = executor.options;
    const fencingToken = fencing.token;
    const sentAt = executor.options.timers.now();
    executor.lease.reportOrder(validity);
    run.orderDeadline = Math.max(run.orderDeadline ?? 0, validity.deadline);
    logStart(executor, run, validity, sentAt);
    const reply = await port.startRun({
      jobId: run.order.jobId,
      taskId: run.taskId,
      run: run.run,
      specification: run.order.specification,
      // The network can deliver an order seconds late; the worker refuses it then.
      deadline: validity.deadline,
      fencingToken,
      replyTimeout: executor.lease.replyTimeout(),
    });
    if (reply.isOk()) executor.lease.reportAnswered(sentAt);
    // A run of an earlier incarnation ends as the next one tells.
    if (run.phase === RunPhase.Ended || executor.isClosed) return;
    if (reply.isErr()) {
      executor.lease.reportUnanswered(sentAt);
      await resolveUnansweredStart(executor, run);
      return;
    }
    recordClock(executor, reply.value, sentAt);
    if (executor.isClosed) return;
    if (reply.value.accepted) {
      markRunning(executor, run, sentAt);
      return;
    }
    if (!handleRefusal(executor, run, reply.value.refusal, fencingToken))
      return;
  }
  endNotStarted(executor, run, RunEndReason.WorkerRefused);
}

function endNotStarted(
  executor: WorkerExecutor,
  run: ActiveRun,
  reason: RunEndReason,
): void {
  executor.endRun(run, { kind: EvidenceKind.NotStarted, reason });
}

/** Logs the right under which an order is sent, by which a run that must not execute is traced to its cause. */
function logStart(
  { options: { logger }, worker }: WorkerExecutor,
  run: ActiveRun,
  { deadline, grantedUntil }: OrderValidity,
  now: Milliseconds,
): void {
  logger.info('start order sent', {
    requestId: run.order.requestId,
    task: run.task,
    run: run.run,
    dispatcher: run.dispatcher,
    worker: worker.workerId,
    echoAgeMilliseconds: Math.round(now - run.lease.echo),
    deadline,
    endsInMilliseconds: Math.round(grantedUntil - now),
    waitedMilliseconds: Math.round(now - run.receivedAt),
  });
}

function recordClock(
  executor: WorkerExecutor,
  reply: WorkerReply,
  sentAt: Milliseconds,
): void {
  if (reply.clock !== undefined)
    executor.lease.recordClock(reply.clock, sentAt);
}

function markRunning(
  executor: WorkerExecutor,
  run: ActiveRun,
  startedAt: Milliseconds,
): void {
  run.phase = RunPhase.Running;
  run.startedAt = startedAt;
  run.confirmedAt = executor.options.timers.now();
  if (run.stopReason !== undefined) void stopRun(executor, run);
}

/** Handles a refused start. True when the order should be sent again. */
function handleRefusal(
  executor: WorkerExecutor,
  run: ActiveRun,
  refusal: WorkerRefusal,
  fencingToken: number,
): boolean {
  if (run.stopReason !== undefined) {
    endNotStarted(executor, run, run.stopReason);
    return false;
  }
  switch (refusal) {
    case WorkerRefusal.Fenced:
      executor.options.fencing.raiseAbove(fencingToken);
      return true;
    case WorkerRefusal.OldRun:
      run.run += 1;
      return true;
    case WorkerRefusal.Late:
      return true;
    case WorkerRefusal.NoRoom:
      executor.requeue(run, noRoomPauseMilliseconds);
      return false;
    case WorkerRefusal.Unhealthy:
      executor.pauseStarts(unhealthyPauseMilliseconds);
      endNotStarted(executor, run, RunEndReason.WorkerRefused);
      return false;
    case WorkerRefusal.Invalid:
      endNotStarted(executor, run, RunEndReason.WorkerRefused);
      return false;
    case WorkerRefusal.OtherIncarnation:
      executor.options.otherIncarnationAnswered();
      return false;
  }
}

/**
 * Resolves a start order without a reply. The worker may have executed the order or may do so later, so a
 * run that is not active yet is stopped, which makes the worker refuse a late start.
 */
async function resolveUnansweredStart(
  executor: WorkerExecutor,
  run: ActiveRun,
): Promise<void> {
  executor.options.logger.info('start order had no reply', {
    requestId: run.order.requestId,
    task: run.task,
    run: run.run,
    worker: executor.worker.workerId,
  });
  const status = await executor.lease.readStatus();
  if (run.phase === RunPhase.Ended || executor.isClosed) return;
  if (status?.running.some(other => isSameRun(other, run)) === true) {
    markRunning(executor, run, run.startedAt);
    return;
  }
  await stopRun(executor, run);
}

function isSameRun(
  other: {
    readonly jobId: string;
    readonly taskId: string;
    readonly run: number;
  },
  run: ActiveRun,
): boolean {
  return (
    other.jobId === run.order.jobId &&
    other.taskId === run.taskId &&
    other.run === run.run
  );
}

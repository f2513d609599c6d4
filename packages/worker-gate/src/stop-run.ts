/** Stops one run on a worker, and retries until the run is known to be inactive. */
import { sleep } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import { type ActiveRun, RunPhase } from './active-run.js';
import { WorkerRefusal } from './ports/worker.js';
import { EvidenceKind } from './run-evidence.js';
import type { WorkerExecutor } from './worker-executor.js';

const retryPauseMilliseconds: Milliseconds = 30;

/** Stops a run that is active or whose start has no reply. Resolves when the run has ended or the executor is closed. */
export async function stopRun(
  executor: WorkerExecutor,
  run: ActiveRun,
): Promise<void> {
  if (run.isStopping) return;
  run.isStopping = true;
  const { timers, port, fencing, logger } = executor.options;
  logger.info('stop order sent', {
    requestId: run.order.requestId,
    task: run.task,
    run: run.run,
    dispatcher: run.dispatcher,
    worker: executor.worker.workerId,
    reason: run.stopReason ?? 'start order without a reply',
    echoAgeMilliseconds: Math.round(timers.now() - run.lease.echo),
  });
  while (run.phase !== RunPhase.Ended && !executor.isClosed) {
    const fencingToken = fencing.token;
    const sentAt = timers.now();
    const reply = await port.stopRun({
      jobId: run.order.jobId,
      taskId: run.taskId,
      run: run.run,
      fencingToken,
      replyTimeout: executor.lease.replyTimeout(),
    });
    if (reply.isOk()) executor.lease.reportAnswered(sentAt);
    if (reply.isOk() && reply.value.accepted) {
      await confirmStopped(executor, run);
      return;
    }
    if (reply.isOk() && !reply.value.accepted) {
      handleRefusal(executor, reply.value.refusal, fencingToken);
    }
    await sleep(timers, retryPauseMilliseconds);
  }
}

function handleRefusal(
  executor: WorkerExecutor,
  refusal: WorkerRefusal,
  fencingToken: number,
): void {
  switch (refusal) {
    case WorkerRefusal.Fenced:
      executor.options.fencing.raiseAbove(fencingToken);
      return;
    case WorkerRefusal.OtherIncarnation:
      executor.options.otherIncarnationAnswered();
      return;
    case WorkerRefusal.OldRun:
    case WorkerRefusal.Late:
    case WorkerRefusal.NoRoom:
    case WorkerRefusal.Unhealthy:
    case WorkerRefusal.Invalid:
      return;
  }
}

/** Confirms a stop. A run that the worker then lists neither as active nor as ended has never started. */
async function confirmStopped(
  executor: WorkerExecutor,
  run: ActiveRun,
): Promise<void> {
  while (hasNotEnded(run) && !executor.isClosed) {
    const status = await executor.lease.readStatus();
    if (!hasNotEnded(run)) return;
    const isAtWork = status?.running.some(
      other => other.jobId === run.order.jobId && other.taskId === run.taskId,
    );
    if (isAtWork === false && status?.isPartial !== true) {
      executor.endRun(run, { kind: EvidenceKind.Stopped });
      return;
    }
    await sleep(executor.options.timers, retryPauseMilliseconds);
  }
}

function hasNotEnded(run: ActiveRun): boolean {
  return run.phase !== RunPhase.Ended;
}

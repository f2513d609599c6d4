/** Asks a worker to stop one run, until it is known that nothing of it is at work any more. */
import { sleep } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { RunEndReason, RunOutcome } from '@cranberryturn/types';

import { type ActiveRun, RunPhase } from './active-run.js';
import { WorkerRefusal } from './ports/worker.js';
import type { WorkerLife } from './worker-life.js';

const retryPause: Milliseconds = 30;

/** Stops a run that is at work, or whose start has no answer. Resolves when it has ended. */
export async function stopRun(life: WorkerLife, run: ActiveRun): Promise<void> {
  if (run.stopping) return;
  run.stopping = true;
  const { timers, port, fencing } = life.options;
  while (run.phase !== RunPhase.Ended && !life.isClosed) {
    const fencingToken = fencing.token;
    const reply = await port.stopRun({
      jobId: run.order.jobId,
      taskId: run.taskId,
      run: run.run,
      fencingToken,
    });
    if (reply.isOk() && reply.value.accepted) {
      await confirmStopped(life, run);
      return;
    }
    if (reply.isOk() && !reply.value.accepted) {
      handleRefusal(life, reply.value.refusal, fencingToken);
    }
    await sleep(timers, retryPause);
  }
}

function handleRefusal(
  life: WorkerLife,
  refusal: WorkerRefusal,
  fencingToken: number,
): void {
  switch (refusal) {
    case WorkerRefusal.Fenced:
      life.options.fencing.raiseAbove(fencingToken);
      return;
    case WorkerRefusal.OtherIncarnation:
      life.close(RunEndReason.WorkerGone);
      return;
    case WorkerRefusal.OldRun:
    case WorkerRefusal.Late:
    case WorkerRefusal.NoRoom:
    case WorkerRefusal.Unhealthy:
    case WorkerRefusal.Invalid:
      return;
  }
}

/** A run that the worker lists neither as at work nor as ended after the stop never started. */
async function confirmStopped(life: WorkerLife, run: ActiveRun): Promise<void> {
  while (hasNotEnded(run) && !life.isClosed) {
    const seen = await life.lease.look();
    if (!hasNotEnded(run)) return;
    const isAtWork = seen?.running.some(
      other => other.jobId === run.order.jobId && other.taskId === run.taskId,
    );
    if (isAtWork === false) {
      const reason = run.stopReason ?? RunEndReason.WorkerSilent;
      life.end(run, RunOutcome.NotStarted, reason);
      return;
    }
    await sleep(life.options.timers, retryPause);
  }
}

function hasNotEnded(run: ActiveRun): boolean {
  return run.phase !== RunPhase.Ended;
}

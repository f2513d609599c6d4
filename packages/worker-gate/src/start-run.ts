/** Asks a worker to start one run, and finds out what became of an order without an answer. */
import type { Milliseconds } from '@cranberryturn/types';
import { RunEndReason, RunOutcome } from '@cranberryturn/types';

import { type ActiveRun, RunPhase } from './active-run.js';
import { WorkerRefusal, type WorkerReply } from './ports/worker.js';
import { stopRun } from './stop-run.js';
import type { WorkerLife } from './worker-life.js';

/** Orders may be carried out seconds late; after this time the worker refuses them. */
const startValidity: Milliseconds = 700;
const mostTries = 5;
const unhealthyPause: Milliseconds = 200;
const noRoomPause: Milliseconds = 20;

/** Starts a run that holds its capacity already. */
export async function startRun(
  life: WorkerLife,
  run: ActiveRun,
): Promise<void> {
  for (let tries = 0; tries < mostTries; tries += 1) {
    const { fencing, port } = life.options;
    const fencingToken = fencing.token;
    const sentAt = life.options.timers.now();
    const reply = await port.startRun({
      jobId: run.order.jobId,
      taskId: run.taskId,
      run: run.run,
      specification: run.order.specification,
      deadline: Math.round(life.clock.estimate() + startValidity),
      fencingToken,
    });
    if (run.phase === RunPhase.Ended) return;
    if (reply.isErr()) {
      life.lease.noteUnanswered();
      await settleUnanswered(life, run);
      return;
    }
    noteClock(life, reply.value, sentAt);
    if (reply.value.accepted) {
      noteStarted(life, run, sentAt);
      return;
    }
    if (!handleRefusal(life, run, reply.value.refusal, fencingToken)) return;
  }
  life.end(run, RunOutcome.NotStarted, RunEndReason.WorkerRefused);
}

function noteClock(
  life: WorkerLife,
  reply: WorkerReply,
  sentAt: Milliseconds,
): void {
  if (reply.accepted) life.lease.noteClock(reply.clock, sentAt);
}

function noteStarted(
  life: WorkerLife,
  run: ActiveRun,
  startedAt: Milliseconds,
): void {
  run.phase = RunPhase.Running;
  run.startedAt = startedAt;
  if (run.stopReason !== undefined) void stopRun(life, run);
}

/** True when the order is worth another try. */
function handleRefusal(
  life: WorkerLife,
  run: ActiveRun,
  refusal: WorkerRefusal,
  fencingToken: number,
): boolean {
  if (run.stopReason !== undefined) {
    life.end(run, RunOutcome.NotStarted, run.stopReason);
    return false;
  }
  switch (refusal) {
    case WorkerRefusal.Fenced:
      life.options.fencing.raiseAbove(fencingToken);
      return true;
    case WorkerRefusal.OldRun:
      run.run += 1;
      return true;
    case WorkerRefusal.Late:
      return true;
    case WorkerRefusal.NoRoom:
      life.requeue(run, noRoomPause);
      return false;
    case WorkerRefusal.Unhealthy:
      life.hold(unhealthyPause);
      life.end(run, RunOutcome.NotStarted, RunEndReason.WorkerRefused);
      return false;
    case WorkerRefusal.Invalid:
      life.end(run, RunOutcome.NotStarted, RunEndReason.WorkerRefused);
      return false;
    case WorkerRefusal.OtherIncarnation:
      life.close(RunEndReason.WorkerGone);
      return false;
  }
}

/** The order may have been carried out, or may be later: a stop keeps it from being so from now on. */
async function settleUnanswered(
  life: WorkerLife,
  run: ActiveRun,
): Promise<void> {
  life.options.logger.info('start order without an answer', {
    requestId: run.order.requestId,
    task: run.task,
    run: run.run,
    worker: life.worker.workerId,
  });
  const seen = await life.lease.look();
  if (run.phase === RunPhase.Ended) return;
  if (seen?.running.some(other => isSame(other, run)) === true) {
    noteStarted(life, run, run.startedAt);
    return;
  }
  await stopRun(life, run);
}

function isSame(
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

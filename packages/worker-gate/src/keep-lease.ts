/** Renews the lease of one life of a worker while anything is at work there, and takes note of ends. */
import { sleep } from '@cranberryturn/timers';
import {
  type Milliseconds,
  RunEndReason,
  type RunKey,
  RunOutcome,
} from '@cranberryturn/types';

import { RunPhase } from './active-run.js';
import { nameTask, WorkerRefusal, type WorkerStatus } from './ports/worker.js';
import { noteProgress } from './note-progress.js';
import { boundLease } from './worker-clock.js';
import type { WorkerLife } from './worker-life.js';

/** A third of the shortest lease: two renewals may be lost. */
const renewalWait: Milliseconds = 300;
const failurePause: Milliseconds = 40;
const silentPause: Milliseconds = 300;
/** Answers may be this late without the worker having lost anything. */
const expiryMargin: Milliseconds = 80;
/** Runs that the worker does not list in this many answers in a row are gone. */
const mostMissing = 3;

/** The lease of one life of a worker. */
export interface LeaseKeeper {
  /** Whether the worker answered lately, and nothing of an earlier sidecar is at work there. */
  readonly isReady: boolean;
  /** Whether the last order got no answer: nothing is started until one comes. */
  readonly isDoubtful: boolean;
  /** Says that an order got no answer. */
  noteUnanswered(): void;
  /** Says that a run ended. */
  wake(): void;
  /** Says that a run is being started, which extends the lease of everything at work. */
  noteStart(): void;
  /** Reads at once what is at work; undefined without an answer. */
  look(): Promise<WorkerStatus | undefined>;
  noteClock(clock: Milliseconds, sentAt: Milliseconds): void;
  stop(): void;
}

/** Starts the task that keeps the lease. */
export function keepLease(life: WorkerLife): LeaseKeeper {
  const { timers, port, fencing, leaseMilliseconds, logger, worker } =
    life.options;
  let acknowledged = 0;
  let confirmed = 0;
  let renewedAt = timers.now();
  let ready = false;
  /** Set by an order without an answer, until an answer comes. */
  let doubtful = false;
  let clean = false;
  let stopped = false;
  let wakeUp: (() => void) | undefined;

  const noteClock = (clock: Milliseconds, sentAt: Milliseconds): void => {
    if (life.clock.observe(clock, sentAt)) life.noteSuspension();
  };

  const takeStatus = (status: WorkerStatus, sentAt: Milliseconds): void => {
    noteClock(status.clock, sentAt);
    for (const ended of status.ended) {
      if (ended.sequence <= acknowledged) continue;
      acknowledged = ended.sequence;
      life.noteEnd(ended);
    }
    noteMissing(life, status, sentAt);
    noteProgress(life, status);
  };

  const renew = async (
    waitMilliseconds: Milliseconds,
  ): Promise<WorkerStatus | undefined> => {
    const sentAt = timers.now();
    const fencingToken = fencing.token;
    const sent = acknowledged;
    const reply = await port.renewLease({
      fencingToken,
      acknowledgedSequence: sent,
      waitMilliseconds,
      deadline: Math.round(life.clock.estimate() + leaseMilliseconds),
    });
    if (stopped) return undefined;
    if (reply.isErr()) {
      noteFailure();
      return undefined;
    }
    if (!reply.value.accepted) {
      handleRefusal(reply.value.refusal, fencingToken);
      return undefined;
    }
    confirmed = Math.max(confirmed, sent);
    trust();
    renewedAt = Math.max(renewedAt, sentAt);
    takeStatus(reply.value.status, sentAt);
    if (!ready && clean) {
      ready = true;
      logger.info('worker answers', { worker: worker.workerId });
      life.options.stateChanged();
      life.fill();
    }
    return reply.value.status;
  };

  const handleRefusal = (
    refusal: WorkerRefusal,
    fencingToken: number,
  ): void => {
    if (refusal === WorkerRefusal.Fenced) fencing.raiseAbove(fencingToken);
    if (refusal === WorkerRefusal.OtherIncarnation)
      life.close(RunEndReason.WorkerGone);
  };

  const trust = (): void => {
    if (!doubtful) return;
    doubtful = false;
    logger.info('worker answers again', { worker: worker.workerId });
    life.options.stateChanged();
    life.fill();
  };

  const doubt = (): void => {
    if (doubtful || !ready) return;
    doubtful = true;
    logger.warn('worker does not answer', { worker: worker.workerId });
    life.noteDoubt();
  };

  const noteFailure = (): void => {
    doubt();
    const silence = timers.now() - renewedAt;
    if (!ready || silence < boundLease(leaseMilliseconds) + expiryMargin)
      return;
    ready = false;
    logger.warn('worker silent for longer than its lease', {
      worker: worker.workerId,
      silenceMilliseconds: Math.round(silence),
    });
    life.noteExpiry();
  };

  /** Stops what an earlier process of this sidecar left at work. */
  const clear = async (): Promise<void> => {
    while (!stopped && !clean) {
      const status = await renew(0);
      if (status === undefined) {
        await sleep(timers, failurePause);
        continue;
      }
      clean = status.running.length === 0;
      await Promise.all(status.running.map(run => stopLeftover(run)));
    }
  };

  const stopLeftover = async (run: RunKey): Promise<void> => {
    const fencingToken = fencing.token;
    await port.stopRun({ ...run, fencingToken });
  };

  const hasWork = (): boolean => life.listActive().length > 0;

  const waitForWork = async (): Promise<void> => {
    if (hasWork() || acknowledged > confirmed || !ready || doubtful) return;
    await new Promise<void>(resolve => {
      wakeUp = resolve;
    });
  };

  const run = async (): Promise<void> => {
    await clear();
    while (!stopped) {
      await waitForWork();
      const status = await renew(hasWork() ? renewalWait : 0);
      if (status !== undefined) continue;
      await sleep(timers, ready ? failurePause : silentPause);
    }
  };

  const wake = (): void => {
    wakeUp?.();
    wakeUp = undefined;
  };

  // The life is still being built: its parts are used from the next turn on.
  queueMicrotask(() => void run());
  return {
    get isReady() {
      return ready && !stopped;
    },
    get isDoubtful() {
      return doubtful;
    },
    noteUnanswered: () => {
      doubt();
      wake();
    },
    wake,
    noteStart: () => {
      renewedAt = timers.now();
      wake();
    },
    look: () => renew(0),
    noteClock,
    stop: () => {
      stopped = true;
      wake();
    },
  };
}

/** Ends runs that the worker does not know any more. */
function noteMissing(
  life: WorkerLife,
  status: WorkerStatus,
  sentAt: Milliseconds,
): void {
  const listed = new Set(
    status.running.map(
      run => `${nameTask(run.jobId, run.taskId)}.${String(run.run)}`,
    ),
  );
  for (const run of life.listActive()) {
    if (run.phase !== RunPhase.Running || run.startedAt >= sentAt) continue;
    const isListed = listed.has(`${run.task}.${String(run.run)}`);
    run.missing = isListed ? 0 : run.missing + 1;
    if (run.missing < mostMissing) continue;
    life.end(run, RunOutcome.Interrupted, RunEndReason.WorkerGone);
  }
}

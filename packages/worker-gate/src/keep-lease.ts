/** Renews the lease of one incarnation of a worker while it has active runs, and processes the ends of runs. */
import { rethrowLater, sleep } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import { endMissingRuns } from './end-missing-runs.js';
import { createExtensionLog } from './log-extensions.js';
import { computeOrderValidity, type OrderValidity } from './order-validity.js';
import { WorkerRefusal, type WorkerStatus } from './ports/worker.js';
import { recordProgress } from './record-progress.js';
import { ReplyTimeout } from './reply-timeout.js';
import { watchMissedEnds } from './watch-missed-ends.js';
import type { WorkerExecutor } from './worker-executor.js';

const failurePauseMilliseconds: Milliseconds = 40;
const silentPauseMilliseconds: Milliseconds = 300;
/** Replies may be this late although the lease of the worker has not expired. */
const expiryMarginMilliseconds: Milliseconds = 80;

/** Keeps the lease of one incarnation of a worker. */
export interface LeaseKeeper {
  /** Whether the worker has replied within its lease, and no run of an earlier sidecar process is active there. */
  readonly isReady: boolean;
  /** The latest deadline of all orders sent so far, on the clock of the worker; minus infinity before the first. */
  readonly deadline: Milliseconds;
  /** Whether an order and all later ones had no reply; no run is started until the worker replies again. */
  readonly isSuspected: boolean;
  /** Reports that an order sent at `sentAt` had no reply. */
  reportUnanswered(sentAt: Milliseconds): void;
  /** Reports that the worker has replied to an order sent at `sentAt`. */
  reportAnswered(sentAt: Milliseconds): void;
  /** How long to wait for the reply to an order. */
  replyTimeout(): Milliseconds;
  /** Wakes the renewal loop, as a run has started or ended. */
  wake(): void;
  /** Reports that a start order is being sent, which extends the lease of all active runs. */
  reportOrder(validity: OrderValidity): void;
  /** Renews the lease without waiting and returns the status of the worker; undefined without a reply. */
  readStatus(): Promise<WorkerStatus | undefined>;
  /** Records the clock of the worker from the reply to an order sent at `sentAt`. */
  recordClock(clock: Milliseconds, sentAt: Milliseconds): void;
  stop(): void;
}

/** Starts the renewal loop of one incarnation. */
export function keepLease(executor: WorkerExecutor): LeaseKeeper {
  const { timers, port, fencing, validity, logger, worker } = executor.options;
  let acknowledgedSequence = 0;
  let confirmedSequence = 0;
  /** When the last of the orders sent so far ends, whether it was answered or not. */
  let ordersEndAt = timers.now();
  let latestDeadline = -Infinity;
  let lastClock = -Infinity;
  /** When the newest order was sent that the worker has replied to. */
  let answeredSentAt = Number.NEGATIVE_INFINITY;
  const replyTimeout = new ReplyTimeout();
  const logExtension = createExtensionLog(executor.options, worker.workerId);
  let lastStatusAt = timers.now();
  let isReady = false;
  /** Set by an order without a reply, until the worker replies again. */
  let isSuspected = false;
  let hasAnswered = false;
  let hasNoLeftovers = false;
  let isStopped = false;
  let wakeUp: (() => void) | undefined;

  const recordClock = (clock: Milliseconds, sentAt: Milliseconds): void => {
    if (executor.clock.isOfOtherIncarnation(clock, sentAt)) {
      logger.warn(
        'clock of the worker is behind; another incarnation answers',
        {
          worker: worker.workerId,
          clock,
        },
      );
      executor.options.otherIncarnationAnswered();
      return;
    }
    if (executor.clock.observe(clock, sentAt)) executor.handleSuspension();
  };

  const recordOrder = (order: OrderValidity): void => {
    ordersEndAt = Math.max(ordersEndAt, order.endsAt);
    latestDeadline = Math.max(latestDeadline, order.deadline);
    logExtension(order);
  };

  const handleStatus = (
    status: WorkerStatus,
    sentAt: Milliseconds,
    fencingToken: number,
  ): void => {
    lastStatusAt = timers.now();
    if (!hasAnswered) {
      hasAnswered = true;
      executor.options.answered();
    }
    recordClock(status.clock, sentAt);
    lastClock = status.clock;
    if (isStopped) return;
    executor.options.statusReceived(status, fencingToken);
    for (const ended of status.ended) {
      if (ended.sequence <= acknowledgedSequence) continue;
      acknowledgedSequence = ended.sequence;
      executor.handleRunEnd(ended);
    }
    if (status.isPartial === true) {
      logger.warn('lists of the worker partly unreadable', {
        worker: worker.workerId,
      });
    } else {
      endMissingRuns(executor, status, sentAt);
    }
    recordProgress(executor, status);
  };

  const renew = async (
    waitMilliseconds: Milliseconds,
  ): Promise<WorkerStatus | undefined> => {
    const sentAt = timers.now();
    const fencingToken = fencing.token;
    const sentSequence = acknowledgedSequence;
    // A worker whose replies are lost would keep its runs active with each renewal that it receives.
    const order = isSuspected ? undefined : computeOrderValidity(executor);
    if (order !== undefined) recordOrder(order);
    const reply = await port.renewLease({
      fencingToken,
      acknowledgedSequence: sentSequence,
      waitMilliseconds,
      replyTimeout: replyTimeout.current(),
      deadline: order?.deadline,
    });
    if (isStopped) return undefined;
    if (reply.isErr()) {
      replyTimeout.observeMissing();
      handleFailure(sentAt);
      return undefined;
    }
    if (waitMilliseconds === 0) reportAnswered(sentAt);
    answeredSentAt = Math.max(answeredSentAt, sentAt);
    if (!reply.value.accepted) {
      handleRefusal(reply.value.refusal, fencingToken);
      return undefined;
    }
    confirmedSequence = Math.max(confirmedSequence, sentSequence);
    clearSuspicion();
    handleStatus(reply.value.status, sentAt, fencingToken);
    if (isStopped) return undefined;
    if (!isReady && hasNoLeftovers) {
      isReady = true;
      logger.info('worker answers', { worker: worker.workerId });
      executor.options.stateChanged();
      executor.startWaitingRuns();
    }
    return reply.value.status;
  };

  const handleRefusal = (
    refusal: WorkerRefusal,
    fencingToken: number,
  ): void => {
    if (refusal === WorkerRefusal.Fenced) fencing.raiseAbove(fencingToken);
    if (refusal === WorkerRefusal.OtherIncarnation)
      executor.options.otherIncarnationAnswered();
  };

  const clearSuspicion = (): void => {
    if (!isSuspected) return;
    isSuspected = false;
    logger.info('worker answers again', { worker: worker.workerId });
    executor.options.stateChanged();
    executor.startWaitingRuns();
  };

  const reportAnswered = (sentAt: Milliseconds): void => {
    answeredSentAt = Math.max(answeredSentAt, sentAt);
    replyTimeout.observe(timers.now() - sentAt);
  };

  /** A single lost reply says nothing about a worker that has replied to a later order. */
  const hasAnsweredSince = (sentAt: Milliseconds): boolean =>
    answeredSentAt >= sentAt;

  const suspectWorker = (sentAt: Milliseconds): void => {
    if (isSuspected || !isReady || hasAnsweredSince(sentAt)) return;
    isSuspected = true;
    logger.warn('worker does not answer', { worker: worker.workerId });
    executor.handleUnansweredOrder();
  };

  const handleFailure = (sentAt: Milliseconds): void => {
    suspectWorker(sentAt);
    const { endedMilliseconds, orderMilliseconds } = validity;
    const stopMilliseconds = endedMilliseconds - orderMilliseconds;
    const runsEndAt = ordersEndAt + stopMilliseconds + expiryMarginMilliseconds;
    if (!isReady || timers.now() < runsEndAt) return;
    isReady = false;
    logger.warn('worker silent for longer than its lease', {
      worker: worker.workerId,
      silenceMilliseconds: Math.round(timers.now() - lastStatusAt),
    });
    executor.handleLeaseExpiry();
  };

  /**
   * Renews the lease. An unexpected error counts as no reply, as it must not end the renewal loop, with
   * which the lease of all runs would end, nor whatever else waits for a status.
   */
  const renewSafely = async (
    waitMilliseconds: Milliseconds,
  ): Promise<WorkerStatus | undefined> => {
    try {
      return await renew(waitMilliseconds);
    } catch (error) {
      rethrowLater(error);
      return undefined;
    }
  };

  const hasWork = (): boolean => executor.listActiveRuns().length > 0;

  const waitForWork = async (): Promise<void> => {
    const hasEnds = acknowledgedSequence > confirmedSequence;
    if (hasWork() || hasEnds || !isReady || isSuspected) return;
    await new Promise<void>(resolve => {
      wakeUp = resolve;
    });
  };

  const runRenewalLoop = async (): Promise<void> => {
    hasNoLeftovers = await executor.options.leftovers.stopAll({
      port,
      workerId: worker.workerId,
      readStatus: () => renewSafely(0),
      isStopped: () => isStopped,
    });
    // Orders of another process, or to an earlier incarnation on its clock, may have extended the lease until then.
    latestDeadline = lastClock + validity.leaseMilliseconds;
    while (!isStopped) {
      await waitForWork();
      // After a lost reply, the worker is asked at once whether it replies.
      const mayWait = hasWork() && !isSuspected;
      const status = await renewSafely(
        mayWait ? validity.renewalWaitMilliseconds : 0,
      );
      if (status !== undefined) continue;
      await sleep(
        timers,
        isReady ? failurePauseMilliseconds : silentPauseMilliseconds,
      );
    }
  };

  /** Reads the status besides the renewal that waits. Its reply may be lost as well, which says nothing about the worker. */
  const readMissedEnds = async (): Promise<void> => {
    if (!isReady || isSuspected) return;
    const sentAt = timers.now();
    const fencingToken = fencing.token;
    const reply = await port.renewLease({
      fencingToken,
      acknowledgedSequence,
      waitMilliseconds: 0,
      replyTimeout: replyTimeout.current(),
      deadline: undefined,
    });
    if (isStopped || reply.isErr()) return;
    reportAnswered(sentAt);
    if (reply.value.accepted)
      handleStatus(reply.value.status, sentAt, fencingToken);
    else handleRefusal(reply.value.refusal, fencingToken);
  };
  const missedEndsWatch = watchMissedEnds(timers, {
    listActiveRuns: () => executor.listActiveRuns(),
    lastStatusAt: () => lastStatusAt,
    readStatus: () => readMissedEnds().catch(rethrowLater),
  });

  const wake = (): void => {
    wakeUp?.();
    wakeUp = undefined;
  };

  // The executor is still under construction, so the loop starts in the next microtask.
  queueMicrotask(() => void runRenewalLoop());
  return {
    get isReady() {
      return isReady && !isStopped;
    },
    get isSuspected() {
      return isSuspected;
    },
    get deadline() {
      return latestDeadline;
    },
    reportUnanswered: sentAt => {
      replyTimeout.observeMissing();
      suspectWorker(sentAt);
      wake();
    },
    reportAnswered,
    replyTimeout: () => replyTimeout.current(),
    wake,
    reportOrder: order => {
      recordOrder(order);
      wake();
    },
    readStatus: () => renewSafely(0),
    recordClock,
    stop: () => {
      isStopped = true;
      missedEndsWatch.cancel();
      wake();
    },
  };
}

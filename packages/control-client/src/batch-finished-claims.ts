/** Reports finished claims to control in batches. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type { FinishedClaim } from '@cranberryturn/wire';

const batchDelayMilliseconds: Milliseconds = 50;
const retryDelayMilliseconds: Milliseconds = 1_000;
const maximumBatchClaims = 1_000;
const maximumQueuedClaims = 100_000;

/** Queues finished claims for the next batch. */
export interface FinishedClaimBatcher {
  add(finished: FinishedClaim): void;
  /** Reports all queued claims at once; on failure the rest is retried later. */
  flush(): Promise<void>;
  /**
   * Drops the queued claims and stops retrying; control only keeps unreported claims for longer.
   */
  stop(): void;
}

/** Creates the batcher; `send` resolves to true when control has accepted the batch. */
export function batchFinishedClaims(
  timers: TimerService,
  send: (finished: readonly FinishedClaim[]) => Promise<boolean>,
): FinishedClaimBatcher {
  let queued: FinishedClaim[] = [];
  let scheduledFlush: TimerSubscription | undefined;
  let isStopped = false;

  const schedule = (delay: Milliseconds): void => {
    if (isStopped) return;
    scheduledFlush ??= timers.after(delay, () => {
      scheduledFlush = undefined;
      void flush();
    });
  };

  const sendBatch = async (): Promise<boolean> => {
    const batch = queued.slice(0, maximumBatchClaims);
    queued = queued.slice(maximumBatchClaims);
    if (await send(batch)) return true;
    // Dropping the oldest is safe: control only keeps unreported claims for longer.
    queued = [...batch, ...queued].slice(-maximumQueuedClaims);
    return false;
  };

  const flush = async (): Promise<void> => {
    while (queued.length > 0) {
      if (await sendBatch()) continue;
      schedule(retryDelayMilliseconds);
      return;
    }
  };

  return {
    add: finished => {
      queued.push(finished);
      schedule(batchDelayMilliseconds);
    },
    flush,
    stop: () => {
      isStopped = true;
      scheduledFlush?.cancel();
    },
  };
}

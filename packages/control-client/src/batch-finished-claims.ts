/** Collects jobs that were answered and reports them to control in batches. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type { FinishedClaim } from '@cranberryturn/wire';

const batchDelayMilliseconds: Milliseconds = 50;
const retryDelayMilliseconds: Milliseconds = 1_000;
const maximumBatchClaims = 1_000;
const maximumQueuedClaims = 100_000;

/** Takes answered jobs. */
export interface FinishedClaimBatcher {
  add(finished: FinishedClaim): void;
  /** Reports everything that waits, without delay. */
  flush(): Promise<void>;
  /** Gives up on what still waits; control keeps an unreported claim for longer. */
  stop(): void;
}

/** Creates the batcher; `send` tells whether control took the batch. */
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
    // Control keeps an unreported claim for longer, so dropping the oldest is safe.
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

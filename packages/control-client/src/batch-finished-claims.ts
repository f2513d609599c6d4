/** Collects jobs that were answered and reports them to control in batches. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type { FinishedClaim } from '@cranberryturn/wire';

const batchDelay: Milliseconds = 50;
const retryDelay: Milliseconds = 1_000;
const maximumBatch = 1_000;
const maximumWaiting = 100_000;

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
  let waiting: FinishedClaim[] = [];
  let pending: TimerSubscription | undefined;
  let stopped = false;

  const schedule = (delay: Milliseconds): void => {
    if (stopped) return;
    pending ??= timers.after(delay, () => {
      pending = undefined;
      void flush();
    });
  };

  const sendBatch = async (): Promise<boolean> => {
    const batch = waiting.slice(0, maximumBatch);
    waiting = waiting.slice(maximumBatch);
    if (await send(batch)) return true;
    // Control keeps an unreported claim for longer, so dropping the oldest is safe.
    waiting = [...batch, ...waiting].slice(-maximumWaiting);
    return false;
  };

  const flush = async (): Promise<void> => {
    while (waiting.length > 0) {
      if (await sendBatch()) continue;
      schedule(retryDelay);
      return;
    }
  };

  return {
    add: finished => {
      waiting.push(finished);
      schedule(batchDelay);
    },
    flush,
    stop: () => {
      stopped = true;
      pending?.cancel();
    },
  };
}

/** Gathers the cancellations of one turn into one call for each target and reason. */
import type { TargetEntry } from '@cranberryturn/placement';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { AttemptKey } from '@cranberryturn/types';

import type { AttemptSender } from './ports/scheduler.js';

/** Gathers cancellations. */
export interface CancelBatcher {
  add(target: TargetEntry, attempt: AttemptKey, reason: string): void;
  /** Drops what was not sent. */
  stop(): void;
}

/** Creates a batcher that sends at the end of the turn of the event loop. */
export function createCancelBatcher(
  timers: TimerService,
  sender: AttemptSender,
): CancelBatcher {
  const batches = new Map<TargetEntry, Map<string, AttemptKey[]>>();
  let flushTimer: TimerSubscription | undefined;

  const flush = (): void => {
    flushTimer = undefined;
    for (const [target, reasons] of batches) {
      for (const [reason, attempts] of reasons)
        sender.cancelAttempts(target.record, attempts, reason);
    }
    batches.clear();
  };

  return {
    add: (target, attempt, reason) => {
      const reasons = batches.get(target) ?? new Map<string, AttemptKey[]>();
      const attempts = reasons.get(reason) ?? [];
      attempts.push(attempt);
      reasons.set(reason, attempts);
      batches.set(target, reasons);
      flushTimer ??= timers.after(0, flush);
    },
    stop: () => {
      flushTimer?.cancel();
      batches.clear();
    },
  };
}

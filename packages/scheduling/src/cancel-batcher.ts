/** Batches cancellations: one call for each target and reason in each turn of the event loop. */
import type { TargetEntry } from '@cranberryturn/placement';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { AttemptKey } from '@cranberryturn/types';

import type { AttemptSender } from './ports/scheduler.js';

/** Collects cancellations and sends them in batches. */
export interface CancelBatcher {
  add(target: TargetEntry, attempt: AttemptKey, reason: string): void;
  /** Drops cancellations that were not sent yet. */
  stop(): void;
}

/** Creates a batcher that sends when the current turn of the event loop has ended. */
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

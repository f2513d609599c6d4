/** Logs until when the lease of a worker holds, by which a run that outlives its dispatcher is traced to its cause. */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, TargetId } from '@cranberryturn/types';

import type { OrderValidity } from './order-validity.js';

/** The lease of a worker with active runs is extended several times as often. */
const minimumIntervalMilliseconds: Milliseconds = 250;

/** Creates a function that logs the extensions of the lease of one worker, at most four a second. */
export function createExtensionLog(
  {
    timers,
    logger,
  }: { readonly timers: TimerService; readonly logger: Logger },
  worker: TargetId,
): (order: OrderValidity) => void {
  let loggedAt: Milliseconds = -Infinity;
  return ({ deadline, grantedUntil }) => {
    const now = timers.now();
    if (now - loggedAt < minimumIntervalMilliseconds) return;
    loggedAt = now;
    logger.info('lease extended', {
      worker,
      deadline,
      endsInMilliseconds: Math.round(grantedUntil - now),
    });
  };
}

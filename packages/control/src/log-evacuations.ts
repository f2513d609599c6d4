/** Logs each change of the evacuation state that a replica applies. */
import type { Logger } from '@cranberryturn/logger';
import type { AppliedEvent } from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';

import { OperationOutcomeKind } from './control-operations.js';
import type { EntryOutcome } from './control-state.js';
import { EvacuationResult } from './evacuations.js';

/**
 * Writes one line for each change. A replica that starts applies the log again from its snapshot, so
 * the line gives the age of the order, by the clocks of this host and of the leader.
 */
export function logEvacuations(
  {
    logger,
    timers,
  }: { readonly logger: Logger; readonly timers: TimerService },
  { entry, outcome }: AppliedEvent<EntryOutcome>,
): void {
  for (const one of outcome) {
    if (one.kind !== OperationOutcomeKind.Evacuation) continue;
    if (one.result !== EvacuationResult.Changed) continue;
    const { requestId, order, state } = one;
    logger.info(
      order.isEvacuated ? 'evacuation in force' : 'evacuation withdrawn',
      {
        requestId,
        dataCentre: order.dataCentre,
        version: state.version,
        ageMilliseconds: Math.round(timers.wallClock() - entry.leaderTime),
      },
    );
  }
}

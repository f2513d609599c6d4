/** Checks the invariants of the system against the decision logs of a run. */
import type { DecisionRecord } from '@cranberryturn/types';

import { checkLimits } from './check-limits.js';
import { checkReplies } from './check-replies.js';
import { checkStarts } from './check-starts.js';
import { indexDecisions } from './index-decisions.js';
import type { CheckOptions, Violation } from './violation.js';

/**
 * Finds every violated invariant in the joined logs of all processes of a run.
 * Job identifiers must be unique across the teams of the run. A duplicated
 * record counts twice, so each log may be joined only once.
 */
export function checkDecisions(
  records: readonly DecisionRecord[],
  options: CheckOptions,
): Violation[] {
  const index = indexDecisions(records);
  return [
    ...checkStarts(index, options),
    ...checkReplies(index, options),
    ...checkLimits(index, options.limits),
  ];
}

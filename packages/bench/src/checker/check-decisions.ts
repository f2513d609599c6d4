/** Checks the promises of the system on the decision logs of any run. */
import type { DecisionRecord } from '@cranberryturn/types';

import { checkLimits } from './check-limits.js';
import { checkReplies } from './check-replies.js';
import { checkStarts } from './check-starts.js';
import { indexDecisions } from './index-decisions.js';
import type { CheckOptions, Violation } from './violation.js';

/**
 * Finds every broken invariant in the joined logs of all processes of a run.
 * Job identifiers must be unique over the teams of the run. A record that
 * stands twice counts twice: do not join a log with a copy of itself.
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

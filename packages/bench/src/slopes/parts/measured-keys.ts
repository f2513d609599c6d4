/** The shared key of both sides of a measurement: a constant, not a secret. */
import { createKeys } from '../../system/bench-context.js';

const measuredKeyText = `cbk_${'A'.repeat(43)}`;

/** Keys for the networks of both sides. */
export const measuredKeys = createKeys(measuredKeyText);

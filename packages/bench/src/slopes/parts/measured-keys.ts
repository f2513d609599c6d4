/** The shared key of the processes under measure; it protects nothing. */
import { createKeys } from '../../system/bench-context.js';

const measuredKeyText = `cbk_${'A'.repeat(43)}`;

/** The shared key of the processes under measure. */
export const measuredKeys = createKeys(measuredKeyText);

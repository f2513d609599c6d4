/** The equal part of a limit that each dispatcher owns: its allocation. */
import type { DispatcherId } from '@cranberryturn/types';

import type { SharingDispatchers } from './roster-confirmations.js';
import { computeEqualPart } from './divide-limit.js';
import type { LimitKey } from './ports/share-exchange.js';

/** One limit that all dispatchers share. */
export interface SharedLimit {
  readonly key: LimitKey;
  readonly limit: number;
}

/** Whether no other dispatcher shares the limits. */
export function isOnlyDispatcher(
  self: DispatcherId,
  { count, rosterVersion }: SharingDispatchers,
  names: readonly DispatcherId[],
): boolean {
  if (names.length === 0) return count <= 1 && rosterVersion === undefined;
  return names.length === 1 && names[0] === self;
}

/**
 * Returns the units that this dispatcher owns. The dispatchers that get the units left over differ between limits.
 * A dispatcher outside a known roster owns none.
 */
export function findOwnAllocation(
  self: DispatcherId,
  { key, limit }: SharedLimit,
  { count, rosterVersion }: SharingDispatchers,
  names: readonly DispatcherId[],
): number {
  const position = names.indexOf(self);
  if (position < 0 && rosterVersion !== undefined) return 0;
  if (position < 0) return Math.max(1, Math.floor(limit / Math.max(1, count)));
  const rotatedPosition = (position + sumCharacters(key)) % names.length;
  return computeEqualPart(limit, names.length, rotatedPosition);
}

function sumCharacters(text: string): number {
  let sum = 0;
  for (const character of text) sum += character.charCodeAt(0);
  return sum;
}

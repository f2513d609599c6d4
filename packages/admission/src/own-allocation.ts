/** The part that a dispatcher owns of a limit. */
import type { DispatcherId } from '@cranberryturn/types';

import type { SharingDispatchers } from './roster-confirmations.js';
import { equalPart } from './divide-limit.js';
import type { LimitKey } from './ports/share-exchange.js';

/** One limit over all dispatchers. */
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

/** The units that this dispatcher owns. Limits differ in who gets the units that are left over. */
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
  return equalPart(limit, names.length, rotatedPosition);
}

function sumCharacters(text: string): number {
  let sum = 0;
  for (const character of text) sum += character.charCodeAt(0);
  return sum;
}

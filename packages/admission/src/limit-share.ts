/** The share of a limit that one dispatcher holds: its allocation and its loans. */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

/** Units lent until a point in time. */
export interface Loan {
  readonly units: number;
  readonly expiresAt: Milliseconds;
}

/** Allocation and loans of one dispatcher for one limit, in units. */
export interface Share {
  limit: number;
  /** Allocation in force. */
  allocation: number;
  /** Allocation that takes effect at `increasesAt`, or earlier when all peers confirm. */
  pendingAllocation: number;
  increasesAt: Milliseconds;
  inUse: number;
  /** Units that a sufficient share would let the dispatcher use. */
  demand: number;
  readonly lent: Map<DispatcherId, Loan[]>;
  readonly borrowed: Map<DispatcherId, Loan>;
}

/** Creates a share whose allocation takes effect at `usableAt`. */
export function createShare(
  limit: number,
  allocation: number,
  usableAt: Milliseconds,
): Share {
  return {
    limit,
    allocation: 0,
    pendingAllocation: allocation,
    increasesAt: usableAt,
    inUse: 0,
    demand: 0,
    lent: new Map(),
    borrowed: new Map(),
  };
}

/** Counts the units lent to peers; of the unexpired loans to one peer the largest counts. */
export function countLent(share: Share, now: Milliseconds): number {
  let sum = 0;
  for (const loans of share.lent.values()) {
    let largest = 0;
    for (const loan of loans) {
      if (loan.expiresAt > now) largest = Math.max(largest, loan.units);
    }
    sum += largest;
  }
  return sum;
}

/** Counts the units borrowed from peers. */
export function countBorrowed(share: Share, now: Milliseconds): number {
  let sum = 0;
  for (const loan of share.borrowed.values()) {
    if (loan.expiresAt > now) sum += loan.units;
  }
  return sum;
}

/** Counts the units in use that are not borrowed. */
export function countOwnUse(share: Share, now: Milliseconds): number {
  return Math.max(0, share.inUse - countBorrowed(share, now));
}

/** Removes the loans that have expired. */
export function removeExpiredLoans(share: Share, now: Milliseconds): void {
  for (const [peer, loans] of share.lent) {
    const running = loans.filter(loan => loan.expiresAt > now);
    if (running.length === 0) share.lent.delete(peer);
    else share.lent.set(peer, running);
  }
  for (const [peer, loan] of share.borrowed) {
    if (loan.expiresAt <= now) share.borrowed.delete(peer);
  }
}

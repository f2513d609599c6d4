/** The part that one dispatcher has of a limit, with its loans. */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

/** Units lent until a moment. */
export interface Loan {
  readonly units: number;
  readonly expiresAt: Milliseconds;
}

/** The part that one dispatcher has of a limit. */
export interface Share {
  limit: number;
  /** Part that is in force. */
  allocation: number;
  /** Part that comes into force at `raisedAt`. */
  pendingAllocation: number;
  increasesAt: Milliseconds;
  inUse: number;
  demand: number;
  readonly lent: Map<DispatcherId, Loan[]>;
  readonly borrowed: Map<DispatcherId, Loan>;
}

/** Creates a part that comes into force at `usableAt`. */
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

/** Units that are lent to others. */
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

/** Units that are borrowed from others. */
export function countBorrowed(share: Share, now: Milliseconds): number {
  let sum = 0;
  for (const loan of share.borrowed.values()) {
    if (loan.expiresAt > now) sum += loan.units;
  }
  return sum;
}

/** Units in use that are not borrowed. */
export function countOwnUse(share: Share, now: Milliseconds): number {
  return Math.max(0, share.inUse - countBorrowed(share, now));
}

/** Forgets the loans that ended. */
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

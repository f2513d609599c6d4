/** One dispatcher's shares of the limits that all dispatchers hold together. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

import { ShareBorrower } from './borrow-shares.js';
import {
  PartConfirmations,
  raiseDelayMilliseconds,
  type SharingDispatchers,
} from './confirm-parts.js';
import { divideLimit } from './divide-limit.js';
import { findOwnPart, isAlone } from './own-part.js';
import {
  countBorrowed,
  countLent,
  countOwnUse,
  createShare,
  forgetEndedLoans,
  type Share,
} from './limit-share.js';
import type {
  BorrowReply,
  BorrowRequest,
  LimitKey,
  LimitUnits,
  ShareExchange,
} from './ports/share-exchange.js';

/** What a ledger is built from. */
export interface ShareLedgerOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  /** Without it, shares stay equal parts. */
  readonly exchange?: ShareExchange | undefined;
  /** Time after the last confirmed membership for which the own part may be used; undefined means for ever. */
  readonly membershipLeaseMilliseconds?: Milliseconds | undefined;
}

/** Time for which units are lent. */
export const loanMilliseconds: Milliseconds = 3_000;

const exchangePeriodMilliseconds: Milliseconds = 250;
/** Times in a lease at which peers are asked while control is silent. */
const standingsInLease = 4;

/**
 * Holds an equal part of each limit, lends what it does not need to dispatchers that ask, and borrows what it lacks.
 * A lender does without lent units until the loan has ended, so the parts never add up to more than the limit.
 */
export class ShareLedger {
  readonly #options: ShareLedgerOptions;
  readonly #shares = new Map<LimitKey, Share>();
  readonly #ticker: TimerSubscription | undefined;
  readonly #borrower: ShareBorrower;
  readonly #createdAt: Milliseconds;
  readonly #confirmations: PartConfirmations;
  #confirmedAt: Milliseconds;
  #standingsAskedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #peers: readonly DispatcherId[] = [];

  constructor(options: ShareLedgerOptions) {
    this.#options = options;
    this.#createdAt = options.timers.now();
    this.#confirmedAt = this.#createdAt;
    this.#borrower = new ShareBorrower({
      ...options,
      shares: this.#shares,
      held: limit => this.held(limit),
    });
    this.#confirmations = new PartConfirmations(
      options.dispatcherId,
      this.#createdAt,
    );
    this.#ticker = options.timers.every(exchangePeriodMilliseconds, () => {
      this.#tick();
    });
  }

  /**
   * Takes in the limits and the dispatchers that share them. Smaller parts hold at once, larger ones when all
   * peers have confirmed theirs or after the raise delay.
   */
  applyLimits(
    limits: ReadonlyMap<LimitKey, number>,
    dispatchers: SharingDispatchers,
  ): void {
    const names = [...(dispatchers.names ?? [])].sort();
    const now = this.#options.timers.now();
    this.#confirmations.applyRoster(dispatchers, now);
    this.#peers = names.filter(name => name !== this.#options.dispatcherId);
    const alone = isAlone(this.#options.dispatcherId, dispatchers, names);
    for (const limit of [...this.#shares.keys()]) {
      if (!limits.has(limit)) this.#shares.delete(limit);
    }
    for (const [key, limit] of limits) {
      const part = findOwnPart(
        this.#options.dispatcherId,
        { key, limit },
        dispatchers,
        names,
      );
      this.#applyLimit(key, limit, part, alone, now);
    }
    this.#raiseShares(now);
  }

  /** Units that this dispatcher may use now; infinite when there is no such limit. */
  held(limit: LimitKey): number {
    const share = this.#shares.get(limit);
    if (share === undefined) return Number.POSITIVE_INFINITY;
    const now = this.#options.timers.now();
    const own = this.#isMember(now)
      ? Math.max(0, share.base - countLent(share, now))
      : 0;
    return own + countBorrowed(share, now);
  }

  /** Control counts this dispatcher among those that share the limits. */
  confirmMembership(): void {
    this.#confirmedAt = this.#options.timers.now();
  }

  /** Reports the units in use and the units that would be used if the share were large enough. */
  reportDemand(limit: LimitKey, inUse: number, demand: number): void {
    const share = this.#shares.get(limit);
    if (share === undefined) return;
    share.inUse = inUse;
    share.demand = Math.max(inUse, demand);
  }

  /** Answers a peer that asks for units. */
  lend(request: BorrowRequest): BorrowReply {
    const lent = request.wanted.map(wanted => ({
      limit: wanted.limit,
      units: this.#lendUnits(request.borrower, wanted),
    }));
    const now = this.#options.timers.now();
    const standing = this.#confirmations.describeStanding(
      [...this.#shares.values()].every(share => isWithinPart(share, now)),
      now,
    );
    return { lent, loanMilliseconds, standing };
  }

  stop(): void {
    this.#ticker?.cancel();
  }

  #isMember(now: Milliseconds): boolean {
    const lease = this.#options.membershipLeaseMilliseconds;
    if (lease === undefined || now - this.#confirmedAt < lease) return true;
    return now - this.#confirmations.unchangedAt(now) < lease;
  }

  #applyLimit(
    key: LimitKey,
    limit: number,
    part: number,
    isAlone: boolean,
    now: Milliseconds,
  ): void {
    const share = this.#shares.get(key);
    if (share === undefined) {
      const usableAt = this.#createdAt + raiseDelayMilliseconds;
      const waits = !isAlone && now < usableAt;
      this.#shares.set(key, createShare(limit, part, waits ? usableAt : now));
      return;
    }
    const unchanged = share.limit === limit && share.coming === part;
    if (unchanged) return;
    share.limit = limit;
    share.base = Math.min(share.base, part);
    share.coming = part;
    share.raisedAt = now + raiseDelayMilliseconds;
  }

  #lendUnits(borrower: DispatcherId, wanted: LimitUnits): number {
    const share = this.#shares.get(wanted.limit);
    if (share === undefined || wanted.units <= 0) return 0;
    const now = this.#options.timers.now();
    const loans = (share.lent.get(borrower) ?? []).filter(
      loan => loan.until > now,
    );
    share.lent.delete(borrower);
    const available = Math.max(0, share.base - countLent(share, now));
    const [, fair = 0] = divideLimit(available, [share.demand, wanted.units]);
    const spare = available - countOwnUse(share, now);
    const units = Math.max(0, Math.min(fair, wanted.units, spare));
    loans.push({ units, until: now + loanMilliseconds });
    share.lent.set(borrower, loans);
    return units;
  }

  #tick(): void {
    const now = this.#options.timers.now();
    this.#raiseShares(now);
    this.#askForStandings(now);
    for (const share of this.#shares.values()) {
      forgetEndedLoans(share, now);
    }
    this.#borrower.borrow(this.#peers, now);
  }

  #raiseShares(now: Milliseconds): void {
    const confirmed = this.#confirmations.isConfirmed(now);
    for (const share of this.#shares.values()) {
      if (share.base >= share.coming) continue;
      if (confirmed || share.raisedAt <= now) share.base = share.coming;
    }
  }

  /** Asks peers all at once, while a larger part waits for it or control is silent. */
  #askForStandings(now: Milliseconds): void {
    for (const peer of this.#listPeersToAsk(now)) {
      const { exchange, dispatcherId } = this.#options;
      void exchange
        ?.borrow(peer, { borrower: dispatcherId, wanted: [] })
        .map(({ standing }) => {
          this.#confirmations.takeStanding(peer, standing, now);
          this.#raiseShares(this.#options.timers.now());
        });
    }
  }

  #listPeersToAsk(now: Milliseconds): readonly DispatcherId[] {
    const shares = [...this.#shares.values()];
    const waits = shares.some(share => share.base < share.coming);
    if (waits && this.#confirmations.mayAsk(now))
      return this.#confirmations.listUnconfirmed();
    const lease = this.#options.membershipLeaseMilliseconds;
    if (lease === undefined || shares.length === 0) return [];
    const askedAgo = now - this.#standingsAskedAt;
    const isSilent = now - this.#confirmedAt >= lease / 2;
    if (!isSilent || askedAgo < lease / standingsInLease) return [];
    this.#standingsAskedAt = now;
    return this.#confirmations.peers;
  }
}

function isWithinPart(share: Share, now: Milliseconds): boolean {
  return countOwnUse(share, now) + countLent(share, now) <= share.base;
}

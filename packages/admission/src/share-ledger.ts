/** The shares that one dispatcher holds of limits common to all dispatchers. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

import { ShareBorrower } from './borrow-shares.js';
import {
  RosterConfirmations,
  increaseDelayMilliseconds,
  type SharingDispatchers,
} from './roster-confirmations.js';
import { divideLimit } from './divide-limit.js';
import { findOwnAllocation, isOnlyDispatcher } from './own-allocation.js';
import {
  countBorrowed,
  countLent,
  countOwnUse,
  createShare,
  removeExpiredLoans,
  type Share,
} from './limit-share.js';
import type {
  BorrowReply,
  BorrowRequest,
  LimitKey,
  LimitUnits,
  ShareExchange,
} from './ports/share-exchange.js';

/** Options of a ledger. */
export interface ShareLedgerOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  /** Requests to peers; without it, each share stays the equal allocation. */
  readonly exchange?: ShareExchange | undefined;
  /** Time after the last confirmed membership for which allocations may be used; undefined means no end. */
  readonly membershipLeaseMilliseconds?: Milliseconds | undefined;
}

/** Time after which a loan expires. */
export const loanMilliseconds: Milliseconds = 3_000;

const exchangeIntervalMilliseconds: Milliseconds = 250;
/** Requests for the status of peers in each membership lease while control is silent. */
const statusRequestsPerLease = 4;

/**
 * Holds an equal allocation of each limit, lends spare units to peers that ask, and borrows missing ones.
 * A lender does not use lent units until the loan has expired, so the shares never add up to more than the limit.
 */
export class ShareLedger {
  readonly #options: ShareLedgerOptions;
  readonly #shares = new Map<LimitKey, Share>();
  readonly #exchangeTimer: TimerSubscription | undefined;
  readonly #borrower: ShareBorrower;
  readonly #createdAt: Milliseconds;
  readonly #confirmations: RosterConfirmations;
  #confirmedAt: Milliseconds;
  #statusAskedAt: Milliseconds = Number.NEGATIVE_INFINITY;
  #peers: readonly DispatcherId[] = [];

  constructor(options: ShareLedgerOptions) {
    this.#options = options;
    this.#createdAt = options.timers.now();
    this.#confirmedAt = this.#createdAt;
    this.#borrower = new ShareBorrower({
      ...options,
      shares: this.#shares,
      countUsableUnits: limit => this.countUsableUnits(limit),
    });
    this.#confirmations = new RosterConfirmations(
      options.dispatcherId,
      this.#createdAt,
    );
    this.#exchangeTimer = options.timers.every(
      exchangeIntervalMilliseconds,
      () => {
        this.#exchangeUnits();
      },
    );
  }

  /**
   * Applies the limits and the roster of dispatchers that share them. Smaller allocations take effect at once,
   * larger ones when all peers have confirmed the roster or after the increase delay.
   */
  applyLimits(
    limits: ReadonlyMap<LimitKey, number>,
    dispatchers: SharingDispatchers,
  ): void {
    const names = [...(dispatchers.names ?? [])].sort();
    const now = this.#options.timers.now();
    this.#confirmations.applyRoster(dispatchers, now);
    this.#peers = names.filter(name => name !== this.#options.dispatcherId);
    const isAlone = isOnlyDispatcher(
      this.#options.dispatcherId,
      dispatchers,
      names,
    );
    for (const limit of [...this.#shares.keys()]) {
      if (!limits.has(limit)) this.#shares.delete(limit);
    }
    for (const [key, limit] of limits) {
      const allocation = findOwnAllocation(
        this.#options.dispatcherId,
        { key, limit },
        dispatchers,
        names,
      );
      this.#applyLimit(key, limit, allocation, isAlone, now);
    }
    this.#increaseAllocations(now);
  }

  /** Returns the units that this dispatcher may use now; infinite without such a limit. */
  countUsableUnits(limit: LimitKey): number {
    const share = this.#shares.get(limit);
    if (share === undefined) return Number.POSITIVE_INFINITY;
    const now = this.#options.timers.now();
    const ownUnits = this.#hasMembership(now)
      ? Math.max(0, share.allocation - countLent(share, now))
      : 0;
    return ownUnits + countBorrowed(share, now);
  }

  /** Renews the membership lease, after control confirmed that this dispatcher shares the limits. */
  confirmMembership(): void {
    this.#confirmedAt = this.#options.timers.now();
  }

  /** Records the units in use and the units that a sufficient share would let this dispatcher use. */
  reportDemand(limit: LimitKey, inUse: number, demand: number): void {
    const share = this.#shares.get(limit);
    if (share === undefined) return;
    share.inUse = inUse;
    share.demand = Math.max(inUse, demand);
  }

  /** Lends units to a peer, and returns the roster status with the loans. */
  lend(request: BorrowRequest): BorrowReply {
    const lent = request.wanted.map(wanted => ({
      limit: wanted.limit,
      units: this.#lendUnits(request.borrower, wanted),
    }));
    const now = this.#options.timers.now();
    const standing = this.#confirmations.describeOwnStatus(
      [...this.#shares.values()].every(share => isWithinAllocation(share, now)),
      now,
    );
    return { lent, loanMilliseconds, standing };
  }

  stop(): void {
    this.#exchangeTimer?.cancel();
  }

  #hasMembership(now: Milliseconds): boolean {
    const lease = this.#options.membershipLeaseMilliseconds;
    if (lease === undefined || now - this.#confirmedAt < lease) return true;
    return now - this.#confirmations.findRosterCurrentTime(now) < lease;
  }

  #applyLimit(
    key: LimitKey,
    limit: number,
    allocation: number,
    isAlone: boolean,
    now: Milliseconds,
  ): void {
    const share = this.#shares.get(key);
    if (share === undefined) {
      const usableAt = this.#createdAt + increaseDelayMilliseconds;
      const isPending = !isAlone && now < usableAt;
      this.#shares.set(
        key,
        createShare(limit, allocation, isPending ? usableAt : now),
      );
      return;
    }
    const isUnchanged =
      share.limit === limit && share.pendingAllocation === allocation;
    if (isUnchanged) return;
    share.limit = limit;
    share.allocation = Math.min(share.allocation, allocation);
    share.pendingAllocation = allocation;
    share.increasesAt = now + increaseDelayMilliseconds;
  }

  #lendUnits(borrower: DispatcherId, wanted: LimitUnits): number {
    const share = this.#shares.get(wanted.limit);
    if (share === undefined || wanted.units <= 0) return 0;
    const now = this.#options.timers.now();
    const loans = (share.lent.get(borrower) ?? []).filter(
      loan => loan.expiresAt > now,
    );
    share.lent.delete(borrower);
    const available = Math.max(0, share.allocation - countLent(share, now));
    const [, fair = 0] = divideLimit(available, [share.demand, wanted.units]);
    const spare = available - countOwnUse(share, now);
    const units = Math.max(0, Math.min(fair, wanted.units, spare));
    loans.push({ units, expiresAt: now + loanMilliseconds });
    share.lent.set(borrower, loans);
    return units;
  }

  #exchangeUnits(): void {
    const now = this.#options.timers.now();
    this.#increaseAllocations(now);
    this.#askPeersForStatus(now);
    for (const share of this.#shares.values()) {
      removeExpiredLoans(share, now);
    }
    this.#borrower.borrow(this.#peers, now);
  }

  #increaseAllocations(now: Milliseconds): void {
    const isConfirmed = this.#confirmations.isConfirmed(now);
    for (const share of this.#shares.values()) {
      if (share.allocation >= share.pendingAllocation) continue;
      if (isConfirmed || share.increasesAt <= now)
        share.allocation = share.pendingAllocation;
    }
  }

  /** Asks the peers concurrently, while a larger allocation awaits confirmation or control is silent. */
  #askPeersForStatus(now: Milliseconds): void {
    for (const peer of this.#listPeersToAsk(now)) {
      const { exchange, dispatcherId } = this.#options;
      void exchange
        ?.borrow(peer, { borrower: dispatcherId, wanted: [] })
        .map(({ standing }) => {
          this.#confirmations.recordPeerStatus(peer, standing, now);
          this.#increaseAllocations(this.#options.timers.now());
        });
    }
  }

  #listPeersToAsk(now: Milliseconds): readonly DispatcherId[] {
    const shares = [...this.#shares.values()];
    const isIncreasePending = shares.some(
      share => share.allocation < share.pendingAllocation,
    );
    if (isIncreasePending && this.#confirmations.shouldAskPeers(now))
      return this.#confirmations.listUnconfirmedPeers();
    const lease = this.#options.membershipLeaseMilliseconds;
    if (lease === undefined || shares.length === 0) return [];
    const sinceAskedMilliseconds = now - this.#statusAskedAt;
    const isSilent = now - this.#confirmedAt >= lease / 2;
    if (!isSilent || sinceAskedMilliseconds < lease / statusRequestsPerLease)
      return [];
    this.#statusAskedAt = now;
    return this.#confirmations.peers;
  }
}

function isWithinAllocation(share: Share, now: Milliseconds): boolean {
  return countOwnUse(share, now) + countLent(share, now) <= share.allocation;
}

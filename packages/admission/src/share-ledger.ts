/** One dispatcher's shares of the limits that all dispatchers hold together. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

import { divideLimit, equalPart } from './divide-limit.js';
import {
  countBorrowed,
  countLent,
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

/** The dispatchers that share the limits. */
export interface SharingDispatchers {
  readonly count: number;
  /** Their names in any order, when they are known. */
  readonly names?: readonly DispatcherId[] | undefined;
}

/** Time for which units are lent. */
export const loanMilliseconds: Milliseconds = 3_000;
/** A larger part is used only after this time, when every other dispatcher has its smaller one. */
export const raiseDelayMilliseconds: Milliseconds = 8_000;

const exchangePeriodMilliseconds: Milliseconds = 250;
const renewalMilliseconds: Milliseconds = 1_500;
const clockDriftMargin = 0.9;

/**
 * Holds an equal part of each limit, lends what it does not need to dispatchers that ask, and borrows what it lacks.
 * A lender does without lent units until the loan has ended, so the parts never add up to more than the limit.
 */
export class ShareLedger {
  readonly #options: ShareLedgerOptions;
  readonly #shares = new Map<LimitKey, Share>();
  readonly #ticker: TimerSubscription | undefined;
  readonly #askedAt = new Map<DispatcherId, Milliseconds>();
  readonly #createdAt: Milliseconds;
  #confirmedAt: Milliseconds;
  #peers: readonly DispatcherId[] = [];
  #nextPeer = 0;

  constructor(options: ShareLedgerOptions) {
    this.#options = options;
    this.#createdAt = options.timers.now();
    this.#confirmedAt = this.#createdAt;
    this.#ticker = options.timers.every(exchangePeriodMilliseconds, () => {
      this.#tick();
    });
  }

  /** Takes in the limits and the dispatchers that share them. Smaller parts hold at once, larger ones after the raise delay. */
  applyLimits(
    limits: ReadonlyMap<LimitKey, number>,
    dispatchers: SharingDispatchers,
  ): void {
    const names = [...(dispatchers.names ?? [])].sort();
    this.#peers = names.filter(name => name !== this.#options.dispatcherId);
    for (const limit of [...this.#shares.keys()]) {
      if (!limits.has(limit)) this.#shares.delete(limit);
    }
    for (const [key, limit] of limits) {
      const part = this.#partOf(key, limit, dispatchers, names);
      this.#applyLimit(key, limit, part, dispatchers.count);
    }
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
    return { lent, loanMilliseconds };
  }

  stop(): void {
    this.#ticker?.cancel();
  }

  #isMember(now: Milliseconds): boolean {
    const lease = this.#options.membershipLeaseMilliseconds;
    return lease === undefined || now - this.#confirmedAt < lease;
  }

  #partOf(
    key: LimitKey,
    limit: number,
    dispatchers: SharingDispatchers,
    names: readonly DispatcherId[],
  ): number {
    const position = names.indexOf(this.#options.dispatcherId);
    if (position < 0)
      return Math.max(1, Math.floor(limit / Math.max(1, dispatchers.count)));
    const rotated = (position + sumCharacters(key)) % names.length;
    return equalPart(limit, names.length, rotated);
  }

  #applyLimit(
    key: LimitKey,
    limit: number,
    part: number,
    dispatchers: number,
  ): void {
    const now = this.#options.timers.now();
    const share = this.#shares.get(key);
    if (share === undefined) {
      const usableAt = this.#createdAt + raiseDelayMilliseconds;
      const waits = dispatchers > 1 && now < usableAt;
      this.#shares.set(key, createShare(limit, part, waits ? usableAt : now));
      this.#raiseShares(now);
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
    const inUse = Math.max(0, share.inUse - countBorrowed(share, now));
    const units = Math.max(0, Math.min(fair, wanted.units, available - inUse));
    loans.push({ units, until: now + loanMilliseconds });
    share.lent.set(borrower, loans);
    return units;
  }

  #tick(): void {
    const now = this.#options.timers.now();
    this.#raiseShares(now);
    for (const share of this.#shares.values()) {
      forgetEndedLoans(share, now);
    }
    this.#exchange(now);
  }

  #raiseShares(now: Milliseconds): void {
    for (const share of this.#shares.values()) {
      if (share.base < share.coming && share.raisedAt <= now)
        share.base = share.coming;
    }
  }

  #exchange(now: Milliseconds): void {
    const { exchange, dispatcherId } = this.#options;
    const peer = this.#choosePeer(now);
    if (exchange === undefined || peer === undefined) return;
    const wanted = this.#wantedFrom(peer, now);
    if (wanted.length === 0) return;
    this.#askedAt.set(peer, now);
    for (const { limit, units } of wanted) this.#shrinkLoan(peer, limit, units);
    void exchange
      .borrow(peer, { borrower: dispatcherId, wanted })
      .map(reply => {
        this.#takeLoans(peer, reply, now);
      });
  }

  /** Renews running loans first, then asks the peers in turn. */
  #choosePeer(now: Milliseconds): DispatcherId | undefined {
    for (const peer of this.#peers) {
      const askedAt = this.#askedAt.get(peer) ?? 0;
      if (this.#borrowsFrom(peer, now) && now - askedAt >= renewalMilliseconds)
        return peer;
    }
    const others = this.#peers.filter(peer => !this.#borrowsFrom(peer, now));
    this.#nextPeer += 1;
    return others[this.#nextPeer % others.length];
  }

  #borrowsFrom(peer: DispatcherId, now: Milliseconds): boolean {
    for (const share of this.#shares.values()) {
      const loan = share.borrowed.get(peer);
      if (loan !== undefined && loan.until > now) return true;
    }
    return false;
  }

  #wantedFrom(peer: DispatcherId, now: Milliseconds): readonly LimitUnits[] {
    const wanted: LimitUnits[] = [];
    for (const [limit, share] of this.#shares) {
      const loan = share.borrowed.get(peer);
      const present = loan !== undefined && loan.until > now ? loan.units : 0;
      const missing = share.demand - this.held(limit);
      const units = Math.max(0, Math.ceil(present + missing));
      if (units > 0 || present > 0) wanted.push({ limit, units });
    }
    return wanted;
  }

  #shrinkLoan(peer: DispatcherId, limit: LimitKey, units: number): void {
    const share = this.#shares.get(limit);
    const loan = share?.borrowed.get(peer);
    if (share === undefined || loan === undefined) return;
    const kept = Math.min(units, loan.units);
    share.borrowed.set(peer, { units: kept, until: loan.until });
  }

  #takeLoans(
    peer: DispatcherId,
    reply: BorrowReply,
    askedAt: Milliseconds,
  ): void {
    const until = askedAt + reply.loanMilliseconds * clockDriftMargin;
    for (const { limit, units } of reply.lent) {
      const share = this.#shares.get(limit);
      if (share === undefined) continue;
      share.borrowed.set(peer, { units, until });
    }
  }
}

function sumCharacters(text: string): number {
  let sum = 0;
  for (const character of text) sum += character.charCodeAt(0);
  return sum;
}

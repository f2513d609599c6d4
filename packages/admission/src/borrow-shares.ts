/** Borrows units of limits from other dispatchers. */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

import type { Share } from './limit-share.js';
import type {
  BorrowReply,
  LimitKey,
  LimitUnits,
  ShareExchange,
} from './ports/share-exchange.js';

/** Options of a borrower. */
export interface ShareBorrowerOptions {
  readonly dispatcherId: DispatcherId;
  readonly exchange?: ShareExchange | undefined;
  readonly shares: ReadonlyMap<LimitKey, Share>;
  /** Returns the units that this dispatcher may use now. */
  readonly countUsableUnits: (limit: LimitKey) => number;
}

/** Age at which a loan is renewed, before it expires. */
const loanRenewalMilliseconds: Milliseconds = 1_500;
/** Part of the time of a loan that the borrower uses, so that drifting clocks do not extend the loan. */
const clockDriftFactor = 0.9;

/** Borrows units for one dispatcher. */
export class ShareBorrower {
  readonly #options: ShareBorrowerOptions;
  readonly #askedAt = new Map<DispatcherId, Milliseconds>();
  #nextPeerPosition = 0;

  constructor(options: ShareBorrowerOptions) {
    this.#options = options;
  }

  /** Asks one peer for missing units, or renews its loans. Called at each exchange interval. */
  borrow(peers: readonly DispatcherId[], now: Milliseconds): void {
    const { exchange, dispatcherId } = this.#options;
    const peer = this.#choosePeer(peers, now);
    if (exchange === undefined || peer === undefined) return;
    const wanted = this.#computeWantedUnits(peer, now);
    if (wanted.length === 0) return;
    this.#askedAt.set(peer, now);
    for (const { limit, units } of wanted) this.#shrinkLoan(peer, limit, units);
    void exchange
      .borrow(peer, { borrower: dispatcherId, wanted })
      .map(reply => {
        this.#recordLoans(peer, reply, now);
      });
  }

  /** Returns a peer whose loans are due for renewal, else the next peer without loans. */
  #choosePeer(
    peers: readonly DispatcherId[],
    now: Milliseconds,
  ): DispatcherId | undefined {
    for (const peer of peers) {
      const askedAt = this.#askedAt.get(peer) ?? 0;
      if (
        this.#isBorrowingFrom(peer, now) &&
        now - askedAt >= loanRenewalMilliseconds
      )
        return peer;
    }
    const others = peers.filter(peer => !this.#isBorrowingFrom(peer, now));
    this.#nextPeerPosition += 1;
    return others[this.#nextPeerPosition % others.length];
  }

  #isBorrowingFrom(peer: DispatcherId, now: Milliseconds): boolean {
    for (const share of this.#options.shares.values()) {
      const loan = share.borrowed.get(peer);
      if (loan !== undefined && loan.expiresAt > now) return true;
    }
    return false;
  }

  #computeWantedUnits(
    peer: DispatcherId,
    now: Milliseconds,
  ): readonly LimitUnits[] {
    const wanted: LimitUnits[] = [];
    for (const [limit, share] of this.#options.shares) {
      const loan = share.borrowed.get(peer);
      const currentUnits =
        loan !== undefined && loan.expiresAt > now ? loan.units : 0;
      const missingUnits = share.demand - this.#options.countUsableUnits(limit);
      const units = Math.max(0, Math.ceil(currentUnits + missingUnits));
      if (units > 0 || currentUnits > 0) wanted.push({ limit, units });
    }
    return wanted;
  }

  #shrinkLoan(peer: DispatcherId, limit: LimitKey, units: number): void {
    const share = this.#options.shares.get(limit);
    const loan = share?.borrowed.get(peer);
    if (share === undefined || loan === undefined) return;
    const keptUnits = Math.min(units, loan.units);
    share.borrowed.set(peer, { units: keptUnits, expiresAt: loan.expiresAt });
  }

  #recordLoans(
    peer: DispatcherId,
    reply: BorrowReply,
    askedAt: Milliseconds,
  ): void {
    const expiresAt = askedAt + reply.loanMilliseconds * clockDriftFactor;
    for (const { limit, units } of reply.lent) {
      const share = this.#options.shares.get(limit);
      if (share === undefined) continue;
      share.borrowed.set(peer, { units, expiresAt });
    }
  }
}

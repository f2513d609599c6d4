/** Borrows parts of limits from other dispatchers. */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

import type { Share } from './limit-share.js';
import type {
  BorrowReply,
  LimitKey,
  LimitUnits,
  ShareExchange,
} from './ports/share-exchange.js';

/** What a borrower is built from. */
export interface ShareBorrowerOptions {
  readonly dispatcherId: DispatcherId;
  readonly exchange?: ShareExchange | undefined;
  readonly shares: ReadonlyMap<LimitKey, Share>;
  /** Units that this dispatcher may use now. */
  readonly held: (limit: LimitKey) => number;
}

const renewalMilliseconds: Milliseconds = 1_500;
const clockDriftMargin = 0.9;

/** Borrows for one dispatcher. */
export class ShareBorrower {
  readonly #options: ShareBorrowerOptions;
  readonly #askedAt = new Map<DispatcherId, Milliseconds>();
  #nextPeer = 0;

  constructor(options: ShareBorrowerOptions) {
    this.#options = options;
  }

  /** Asks one peer for what is missing, or renews what it lent. */
  borrow(peers: readonly DispatcherId[], now: Milliseconds): void {
    const { exchange, dispatcherId } = this.#options;
    const peer = this.#choosePeer(peers, now);
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
  #choosePeer(
    peers: readonly DispatcherId[],
    now: Milliseconds,
  ): DispatcherId | undefined {
    for (const peer of peers) {
      const askedAt = this.#askedAt.get(peer) ?? 0;
      if (this.#borrowsFrom(peer, now) && now - askedAt >= renewalMilliseconds)
        return peer;
    }
    const others = peers.filter(peer => !this.#borrowsFrom(peer, now));
    this.#nextPeer += 1;
    return others[this.#nextPeer % others.length];
  }

  #borrowsFrom(peer: DispatcherId, now: Milliseconds): boolean {
    for (const share of this.#options.shares.values()) {
      const loan = share.borrowed.get(peer);
      if (loan !== undefined && loan.until > now) return true;
    }
    return false;
  }

  #wantedFrom(peer: DispatcherId, now: Milliseconds): readonly LimitUnits[] {
    const wanted: LimitUnits[] = [];
    for (const [limit, share] of this.#options.shares) {
      const loan = share.borrowed.get(peer);
      const present = loan !== undefined && loan.until > now ? loan.units : 0;
      const missing = share.demand - this.#options.held(limit);
      const units = Math.max(0, Math.ceil(present + missing));
      if (units > 0 || present > 0) wanted.push({ limit, units });
    }
    return wanted;
  }

  #shrinkLoan(peer: DispatcherId, limit: LimitKey, units: number): void {
    const share = this.#options.shares.get(limit);
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
      const share = this.#options.shares.get(limit);
      if (share === undefined) continue;
      share.borrowed.set(peer, { units, until });
    }
  }
}

/** Confirmations of other dispatchers that the part of this one is free. */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

import type { RosterStatus } from './ports/share-exchange.js';

/** The dispatchers that share the limits. */
export interface SharingDispatchers {
  readonly count: number;
  /** Their names in any order, when they are known. */
  readonly names?: readonly DispatcherId[] | undefined;
  /** Position of the last change of the roster, when it is known. */
  readonly rosterVersion?: number | undefined;
  /** Whether an earlier run of this dispatcher may still have tasks. */
  readonly replacesRun?: boolean | undefined;
}

/** Time after which every dispatcher follows a change of the roster, and tasks of runs that left have ended. */
export const increaseDelayMilliseconds: Milliseconds = 8_000;

/**
 * Knows when a larger part may be used before the raise delay has passed. Each peer must have taken in the same
 * roster or a later one, and use no more than its part of it. Nobody confirms while a run that left may have tasks.
 */
export class RosterConfirmations {
  readonly #self: DispatcherId;
  readonly #createdAt: Milliseconds;
  readonly #confirmed = new Map<DispatcherId, number>();
  /** When each peer was asked that has taken in no later roster than this dispatcher. */
  readonly #noLaterRosterAt = new Map<DispatcherId, Milliseconds>();
  #names: readonly DispatcherId[] = [];
  #rosterVersion: number | undefined;
  #replacesRun = true;
  #peerDepartedAt: Milliseconds | undefined;

  constructor(self: DispatcherId, now: Milliseconds) {
    this.#self = self;
    this.#createdAt = now;
  }

  /** Takes in who shares the limits. */
  applyRoster(dispatchers: SharingDispatchers, now: Milliseconds): void {
    const names = dispatchers.names ?? [];
    const hasDeparted = this.#names.some(name => !names.includes(name));
    if (hasDeparted) this.#peerDepartedAt = now;
    this.#names = names;
    this.#rosterVersion = dispatchers.rosterVersion;
    this.#replacesRun = dispatchers.replacesRun ?? false;
  }

  /** Takes in what a peer replied to a question asked at `askedAt`. */
  recordPeerStatus(
    peer: DispatcherId,
    rosterStatus: RosterStatus | undefined,
    askedAt: Milliseconds,
  ): void {
    if (rosterStatus === undefined) return;
    const { rosterVersion, settled } = rosterStatus;
    if (settled) this.#confirmed.set(peer, rosterVersion);
    if (rosterVersion <= (this.#rosterVersion ?? 0))
      this.#noLaterRosterAt.set(peer, askedAt);
  }

  get peers(): readonly DispatcherId[] {
    return this.#names.filter(name => name !== this.#self);
  }

  /** The last time at which no peer knew a later roster, so that nobody else used the parts of this dispatcher. */
  findRosterCurrentTime(now: Milliseconds): Milliseconds {
    if (!this.#names.includes(this.#self)) return Number.NEGATIVE_INFINITY;
    const askedTimes = this.peers.map(
      peer => this.#noLaterRosterAt.get(peer) ?? Number.NEGATIVE_INFINITY,
    );
    return Math.min(now, ...askedTimes);
  }

  /** Whether this dispatcher and all peers have settled on the roster. */
  isConfirmed(now: Milliseconds): boolean {
    if (!this.#canConfirm(now)) return false;
    return this.listUnconfirmedPeers().length === 0;
  }

  /** Peers that have not yet confirmed the present roster. */
  listUnconfirmedPeers(): readonly DispatcherId[] {
    const version = this.#rosterVersion ?? 0;
    return this.peers.filter(
      name => (this.#confirmed.get(name) ?? -1) < version,
    );
  }

  /** Whether it is of use to ask peers. */
  shouldAskPeers(now: Milliseconds): boolean {
    return this.#canConfirm(now) && this.listUnconfirmedPeers().length > 0;
  }

  /** What this dispatcher tells others; `withinParts` is whether it uses and lends no more than its parts. */
  describeOwnStatus(
    isWithinAllocations: boolean,
    now: Milliseconds,
  ): RosterStatus | undefined {
    const rosterVersion = this.#rosterVersion;
    if (rosterVersion === undefined) return undefined;
    return {
      rosterVersion,
      settled: isWithinAllocations && this.#canConfirm(now),
    };
  }

  #canConfirm(now: Milliseconds): boolean {
    if (this.#rosterVersion === undefined) return false;
    if (!this.#names.includes(this.#self)) return false;
    const departedAt = this.#peerDepartedAt ?? Number.NEGATIVE_INFINITY;
    if (now - departedAt < increaseDelayMilliseconds) return false;
    return (
      !this.#replacesRun || now - this.#createdAt >= increaseDelayMilliseconds
    );
  }
}

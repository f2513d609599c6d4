/** Confirmations by other dispatchers that they do not use the allocations of this one. */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

import type { RosterStatus } from './ports/share-exchange.js';

/** The dispatchers that share the limits. */
export interface SharingDispatchers {
  readonly count: number;
  /** Names of the dispatchers in any order, if known. */
  readonly names?: readonly DispatcherId[] | undefined;
  /** Log index of the last change of the roster, if known. */
  readonly rosterVersion?: number | undefined;
  /** Whether an earlier run of this dispatcher may still have tasks. */
  readonly replacesRun?: boolean | undefined;
}

/** Time after which every dispatcher has applied a change of the roster, and the tasks of departed runs have ended. */
export const increaseDelayMilliseconds: Milliseconds = 8_000;

/**
 * Decides when a larger allocation may be used before the increase delay has passed. Each peer must have applied the
 * same roster or a later one and stay within its allocations. No dispatcher confirms while a departed run may have tasks.
 */
export class RosterConfirmations {
  readonly #self: DispatcherId;
  readonly #createdAt: Milliseconds;
  readonly #confirmed = new Map<DispatcherId, number>();
  /** Time of the last request to each peer that replied with no later roster than the one of this dispatcher. */
  readonly #noLaterRosterAt = new Map<DispatcherId, Milliseconds>();
  #names: readonly DispatcherId[] = [];
  #rosterVersion: number | undefined;
  #replacesRun = true;
  #peerDepartedAt: Milliseconds | undefined;

  constructor(self: DispatcherId, now: Milliseconds) {
    this.#self = self;
    this.#createdAt = now;
  }

  /** Applies the roster of the dispatchers that share the limits. */
  applyRoster(dispatchers: SharingDispatchers, now: Milliseconds): void {
    const names = dispatchers.names ?? [];
    const hasDeparted = this.#names.some(name => !names.includes(name));
    if (hasDeparted) this.#peerDepartedAt = now;
    this.#names = names;
    this.#rosterVersion = dispatchers.rosterVersion;
    this.#replacesRun = dispatchers.replacesRun ?? false;
  }

  /** Records the status that a peer returned to a request sent at `askedAt`. */
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

  /** The other dispatchers of the roster. */
  get peers(): readonly DispatcherId[] {
    return this.#names.filter(name => name !== this.#self);
  }

  /** Returns the last time at which no peer had a later roster, so that no peer used the allocations of this dispatcher. */
  findRosterCurrentTime(now: Milliseconds): Milliseconds {
    if (!this.#names.includes(this.#self)) return Number.NEGATIVE_INFINITY;
    const askedTimes = this.peers.map(
      peer => this.#noLaterRosterAt.get(peer) ?? Number.NEGATIVE_INFINITY,
    );
    return Math.min(now, ...askedTimes);
  }

  /** Whether this dispatcher and all peers have settled on the current roster. */
  isConfirmed(now: Milliseconds): boolean {
    if (!this.#canConfirm(now)) return false;
    return this.listUnconfirmedPeers().length === 0;
  }

  /** Lists the peers that have not confirmed the current roster. */
  listUnconfirmedPeers(): readonly DispatcherId[] {
    const version = this.#rosterVersion ?? 0;
    return this.peers.filter(
      name => (this.#confirmed.get(name) ?? -1) < version,
    );
  }

  /** Whether requests to peers could complete the confirmations. */
  shouldAskPeers(now: Milliseconds): boolean {
    return this.#canConfirm(now) && this.listUnconfirmedPeers().length > 0;
  }

  /** Describes the status for peers; `isWithinAllocations` is whether use and loans stay within the allocations. */
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

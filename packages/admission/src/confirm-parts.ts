/** Confirmations of other dispatchers that the part of this one is free. */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';

import type { PartStanding } from './ports/share-exchange.js';

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
export const raiseDelayMilliseconds: Milliseconds = 8_000;

/**
 * Knows when a larger part may be used before the raise delay has passed. Each peer must have taken in the same
 * roster or a later one, and use no more than its part of it. Nobody confirms while a run that left may have tasks.
 */
export class PartConfirmations {
  readonly #self: DispatcherId;
  readonly #createdAt: Milliseconds;
  readonly #confirmed = new Map<DispatcherId, number>();
  /** When each peer was asked that has taken in no later roster than this dispatcher. */
  readonly #sameRosterAt = new Map<DispatcherId, Milliseconds>();
  #names: readonly DispatcherId[] = [];
  #rosterVersion: number | undefined;
  #replacesRun = true;
  #departedAt: Milliseconds | undefined;

  constructor(self: DispatcherId, now: Milliseconds) {
    this.#self = self;
    this.#createdAt = now;
  }

  /** Takes in who shares the limits. */
  applyRoster(dispatchers: SharingDispatchers, now: Milliseconds): void {
    const names = dispatchers.names ?? [];
    const departed = this.#names.some(name => !names.includes(name));
    if (departed) this.#departedAt = now;
    this.#names = names;
    this.#rosterVersion = dispatchers.rosterVersion;
    this.#replacesRun = dispatchers.replacesRun ?? false;
  }

  /** Takes in what a peer replied to a question asked at `askedAt`. */
  takeStanding(
    peer: DispatcherId,
    standing: PartStanding | undefined,
    askedAt: Milliseconds,
  ): void {
    if (standing === undefined) return;
    const { rosterVersion, settled } = standing;
    if (settled) this.#confirmed.set(peer, rosterVersion);
    if (rosterVersion <= (this.#rosterVersion ?? 0))
      this.#sameRosterAt.set(peer, askedAt);
  }

  get peers(): readonly DispatcherId[] {
    return this.#names.filter(name => name !== this.#self);
  }

  /** The last time at which no peer knew a later roster, so that nobody else used the parts of this dispatcher. */
  unchangedAt(now: Milliseconds): Milliseconds {
    if (!this.#names.includes(this.#self)) return Number.NEGATIVE_INFINITY;
    const asked = this.peers.map(
      peer => this.#sameRosterAt.get(peer) ?? Number.NEGATIVE_INFINITY,
    );
    return Math.min(now, ...asked);
  }

  /** Whether this dispatcher and all peers have settled on the roster. */
  isConfirmed(now: Milliseconds): boolean {
    if (!this.#mayConfirm(now)) return false;
    return this.listUnconfirmed().length === 0;
  }

  /** Peers that have not yet confirmed the present roster. */
  listUnconfirmed(): readonly DispatcherId[] {
    const version = this.#rosterVersion ?? 0;
    return this.peers.filter(
      name => (this.#confirmed.get(name) ?? -1) < version,
    );
  }

  /** Whether it is of use to ask peers. */
  mayAsk(now: Milliseconds): boolean {
    return this.#mayConfirm(now) && this.listUnconfirmed().length > 0;
  }

  /** What this dispatcher tells others; `withinParts` is whether it uses and lends no more than its parts. */
  describeStanding(
    withinParts: boolean,
    now: Milliseconds,
  ): PartStanding | undefined {
    const rosterVersion = this.#rosterVersion;
    if (rosterVersion === undefined) return undefined;
    return { rosterVersion, settled: withinParts && this.#mayConfirm(now) };
  }

  #mayConfirm(now: Milliseconds): boolean {
    if (this.#rosterVersion === undefined) return false;
    if (!this.#names.includes(this.#self)) return false;
    const departedAt = this.#departedAt ?? Number.NEGATIVE_INFINITY;
    if (now - departedAt < raiseDelayMilliseconds) return false;
    return (
      !this.#replacesRun || now - this.#createdAt >= raiseDelayMilliseconds
    );
  }
}

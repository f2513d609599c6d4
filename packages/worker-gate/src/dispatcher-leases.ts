/**
 * Leases of dispatchers at one sidecar. Each message of a dispatcher echoes the newest stamp of this sidecar that it has
 * received. What the sidecar may do for the dispatcher is counted from that stamp, as the dispatcher counts when it
 * considers its runs here ended.
 */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';
import type { RunValidity } from '@cranberryturn/wire';

/** Minimum remaining lease to start a run. */
const minimumRemainingMilliseconds: Milliseconds = 100;

/** The lease of one dispatcher process. Its runs keep it, so that a later process of the dispatcher does not renew them. */
export interface DispatcherLease {
  /** The echoed stamp from which the lease is counted; minus infinity before the first one, and once the lease has ended. */
  echo: Milliseconds;
}

/** The leases of all dispatchers at one sidecar. */
export class DispatcherLeases {
  readonly #validity: RunValidity;
  readonly #leases = new Map<DispatcherId, DispatcherLease>();
  /** Stamps sent earlier renew no lease. */
  #earliestStamp: Milliseconds = -Infinity;

  constructor(validity: RunValidity) {
    this.#validity = validity;
  }

  /**
   * Renews the lease from the stamp that the dispatcher echoed; an older stamp changes nothing, nor does
   * one from the future, which this sidecar has not sent.
   */
  renew(dispatcher: DispatcherId, echo: Milliseconds, now: Milliseconds): void {
    // Also false for NaN.
    if (!(echo <= now) || echo < this.#earliestStamp) return;
    const lease = this.findLease(dispatcher);
    lease.echo = Math.max(lease.echo, echo);
  }

  /** The lease that the dispatcher has now. */
  findLease(dispatcher: DispatcherId): DispatcherLease {
    const known = this.#leases.get(dispatcher);
    if (known !== undefined) return known;
    const lease: DispatcherLease = { echo: -Infinity };
    this.#leases.set(dispatcher, lease);
    return lease;
  }

  /** Ends the lease of a dispatcher that was restarted or is gone. */
  endLease(dispatcher: DispatcherId): void {
    this.findLease(dispatcher).echo = -Infinity;
    this.#leases.delete(dispatcher);
  }

  /**
   * Ends all leases after a suspension of this process. Only echoes of later stamps count: a message that
   * arrived during the suspension echoes an earlier one, which looks recent on a clock that stood still.
   */
  endAllLeases(now: Milliseconds): void {
    this.#earliestStamp = now;
    for (const lease of this.#leases.values()) lease.echo = -Infinity;
    this.#leases.clear();
  }

  /** Whether active runs under the lease may go on. */
  isHeld(lease: DispatcherLease, now: Milliseconds): boolean {
    return this.#computeRemaining(lease, now) > 0;
  }

  /** Whether the remaining lease is long enough to start a run. */
  canStart(lease: DispatcherLease, now: Milliseconds): boolean {
    return this.#computeRemaining(lease, now) > minimumRemainingMilliseconds;
  }

  #computeRemaining(
    { echo }: DispatcherLease,
    now: Milliseconds,
  ): Milliseconds {
    return echo + this.#validity.renewalMilliseconds - now;
  }
}

/**
 * Leases of dispatchers at one sidecar. A dispatcher that receives nothing from this sidecar considers
 * its runs here ended when its lease expires, counted from the last stamp received. Each message of the
 * dispatcher echoes that stamp, so the sidecar knows how long the runs may stay active.
 */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';
import { dispatcherLease, leaseStopMargin } from '@cranberryturn/wire';

/** Minimum remaining lease to start a run. */
const minimumRemainingMilliseconds: Milliseconds = 100;

/** The leases of all dispatchers at one sidecar. */
export class DispatcherLeases {
  readonly #echoes = new Map<DispatcherId, Milliseconds>();
  /** Stamps sent earlier renew no lease. */
  #earliestStamp: Milliseconds = -Infinity;

  /**
   * Renews the lease from the stamp that the dispatcher echoed; an older stamp changes nothing, nor does
   * one from the future, which this sidecar has not sent.
   */
  renew(dispatcher: DispatcherId, echo: Milliseconds, now: Milliseconds): void {
    // Also false for NaN.
    if (!(echo <= now) || echo < this.#earliestStamp) return;
    const known = this.#echoes.get(dispatcher) ?? -Infinity;
    this.#echoes.set(dispatcher, Math.max(known, echo));
  }

  /** Ends the lease of a dispatcher that was restarted or is gone. */
  endLease(dispatcher: DispatcherId): void {
    this.#echoes.delete(dispatcher);
  }

  /**
   * Ends all leases after a suspension of this process. Only echoes of later stamps count: a message that
   * arrived during the suspension echoes an earlier one, which looks recent on a clock that stood still.
   */
  endAllLeases(now: Milliseconds): void {
    this.#earliestStamp = now;
    this.#echoes.clear();
  }

  /** Time since the echoed stamp from which the lease is counted; infinite without a lease. */
  measureEchoAge(dispatcher: DispatcherId, now: Milliseconds): Milliseconds {
    return now - (this.#echoes.get(dispatcher) ?? -Infinity);
  }

  /** Whether active runs of the dispatcher may go on. */
  isHeld(dispatcher: DispatcherId, now: Milliseconds): boolean {
    return this.#computeRemaining(dispatcher, now) > 0;
  }

  /** Whether the remaining lease is long enough to start a run. */
  canStart(dispatcher: DispatcherId, now: Milliseconds): boolean {
    return (
      this.#computeRemaining(dispatcher, now) > minimumRemainingMilliseconds
    );
  }

  #computeRemaining(dispatcher: DispatcherId, now: Milliseconds): Milliseconds {
    const echo = this.#echoes.get(dispatcher) ?? -Infinity;
    return echo + dispatcherLease - leaseStopMargin - now;
  }
}

/**
 * Leases of dispatchers. A dispatcher that does not hear this sidecar takes its runs here as ended
 * when its lease is over, counted from the last stamp that it heard. It echoes that stamp with each
 * message, so the sidecar knows until when runs may be at work.
 */
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';
import { dispatcherLease, leaseStopMargin } from '@cranberryturn/wire';

/** A run is not started for a lease that ends sooner than this. */
const leastRestForStart: Milliseconds = 100;

/** The leases of all dispatchers at one sidecar. */
export class DispatcherLeases {
  readonly #echoes = new Map<DispatcherId, Milliseconds>();

  /** Takes in the stamp that a dispatcher echoed. */
  renew(dispatcher: DispatcherId, echo: Milliseconds): void {
    const known = this.#echoes.get(dispatcher) ?? -Infinity;
    this.#echoes.set(dispatcher, Math.max(known, echo));
  }

  /** The dispatcher was restarted or is gone. */
  end(dispatcher: DispatcherId): void {
    this.#echoes.delete(dispatcher);
  }

  /** This process was suspended: no lease counts that was renewed before. */
  endAll(): void {
    this.#echoes.clear();
  }

  isHeld(dispatcher: DispatcherId, now: Milliseconds): boolean {
    return this.#rest(dispatcher, now) > 0;
  }

  /** Whether the lease lasts long enough to start a run. */
  mayStart(dispatcher: DispatcherId, now: Milliseconds): boolean {
    return this.#rest(dispatcher, now) > leastRestForStart;
  }

  #rest(dispatcher: DispatcherId, now: Milliseconds): Milliseconds {
    const echo = this.#echoes.get(dispatcher) ?? -Infinity;
    return echo + dispatcherLease - leaseStopMargin - now;
  }
}

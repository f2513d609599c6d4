/** The grants of one coordinator whose orders have not reached their workers. */
import type {
  CapacityGrant,
  CapacityRequest,
  Milliseconds,
} from '@cranberryturn/types';

import type { KnownWorker } from '../known-worker.js';

/** A grant whose order has not reached the worker by then is taken for unused. */
const grantValidityMilliseconds: Milliseconds = 100;

/** An outstanding grant and its worker. */
interface LedgerEntry {
  readonly known: KnownWorker;
  readonly expiresAt: Milliseconds;
}

/** The outstanding grants. They reserve resources at their workers until the order has arrived, or for a bounded time. */
export class GrantLedger {
  readonly #entries = new Map<number, LedgerEntry>();
  #lastGrant = 0;

  /** Grants capacity for some tasks on a worker. */
  grant(
    known: KnownWorker,
    need: CapacityRequest['need'],
    tasks: number,
    now: Milliseconds,
  ): CapacityGrant {
    this.#lastGrant += 1;
    const grant = this.#lastGrant;
    const { processors, memoryMebibytes, accelerators } = need;
    known.outstandingGrants.push({
      grant,
      need: {
        processors: processors * tasks,
        memoryMebibytes: memoryMebibytes * tasks,
        accelerators: accelerators * tasks,
      },
    });
    const expiresAt = now + grantValidityMilliseconds;
    this.#entries.set(grant, { known, expiresAt });
    return { grant, workerId: known.workerId, tasks };
  }

  /** Releases the resources of a grant that is not used; does nothing for one whose order has arrived. */
  release(grant: number): void {
    const entry = this.#entries.get(grant);
    this.#entries.delete(grant);
    if (entry === undefined) return;
    const { known } = entry;
    known.outstandingGrants = known.outstandingGrants.filter(
      one => one.grant !== grant,
    );
  }

  /** Releases the grants that are too old, and returns those whose order has not arrived. */
  expire(now: Milliseconds): readonly number[] {
    const expired: number[] = [];
    for (const [grant, { known, expiresAt }] of this.#entries) {
      const isOutstanding = known.outstandingGrants.some(
        one => one.grant === grant,
      );
      if (isOutstanding && expiresAt > now) continue;
      if (isOutstanding) expired.push(grant);
      this.release(grant);
    }
    return expired;
  }
}

/** Keeps the leases of this dispatcher at the sidecars that hold its runs, and detects sidecars that are silent. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type { RunValidity } from '@cranberryturn/wire';

import { EchoedStamps } from './echoed-stamps.js';
import type { SidecarSession } from './sidecar-session.js';

/** Dependencies of the leases, and what their changes lead to. */
export interface SidecarLeasesOptions {
  readonly timers: TimerService;
  readonly validity: RunValidity;
  readonly hasRuns: (session: SidecarSession) => boolean;
  readonly sendHeartbeat: (session: SidecarSession) => void;
  /** A worker has become usable, as a stamp of its sidecar is echoed for the first time. */
  readonly workerUsable: () => void;
  /** No run of this dispatcher is active at the sidecar any more, as neither has heard the other for too long. */
  readonly expired: (session: SidecarSession) => void;
}

/** The leases of one dispatcher. */
export class SidecarLeases {
  readonly #options: SidecarLeasesOptions;
  readonly #stamps: EchoedStamps<SidecarSession>;

  constructor(options: SidecarLeasesOptions) {
    this.#options = options;
    this.#stamps = new EchoedStamps({
      timers: options.timers,
      advanced: session => {
        this.#handleAdvancedEcho(session);
      },
    });
  }

  /** Records a message that has just arrived from a sidecar. */
  recordMessage(session: SidecarSession, stamp: Milliseconds): void {
    session.lastHeardAt = this.#options.timers.now();
    this.#stamps.receive(session, stamp);
  }

  /** Renews the lease at a sidecar that is heard, and ends that at one that is not. Called periodically. */
  check(session: SidecarSession): void {
    const { timers, validity } = this.#options;
    const silence = timers.now() - session.lastHeardAt;
    if (silence >= validity.endedMilliseconds) this.#options.expired(session);
    else this.#renew(session);
  }

  close(): void {
    this.#stamps.close();
  }

  #handleAdvancedEcho(session: SidecarSession): void {
    const { known } = session;
    this.#renew(session);
    if (known === undefined) return;
    const isFirst = known.echoReceivedAt === -Infinity;
    known.echoReceivedAt = session.echoReceivedAt;
    if (isFirst) this.#options.workerUsable();
  }

  #renew(session: SidecarSession): void {
    const { timers, validity, hasRuns, sendHeartbeat } = this.#options;
    // Sidecars send a stamp at least once in the interval; half of it renews with each of them.
    const minimumInterval = validity.heartbeatMilliseconds / 2;
    if (timers.now() - session.lastSentAt < minimumInterval) return;
    if (session.isOpen && hasRuns(session)) sendHeartbeat(session);
  }
}

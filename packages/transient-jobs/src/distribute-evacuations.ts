/** Distributes the state of evacuations to sidecars, and marks the workers that it takes out of use. */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import {
  type EvacuationState,
  type EvacuationVersion,
  isEvacuated,
  type Milliseconds,
} from '@cranberryturn/types';
import { type ToWorkerBody, ToWorkerKind } from '@cranberryturn/wire';

import { isConfirmed, isNoticeDue, recordNotice } from './evacuation-notice.js';
import {
  isEvacuatedAndHeard,
  type KnownWorker,
  setEvacuated,
  updateHeldBackProcessors,
} from './known-worker.js';
import type { SessionNumber, SidecarSession } from './sidecar-session.js';

/** Sidecars that have not confirmed a version after this time are named in the log, once for each version. */
const confirmationMilliseconds: Milliseconds = 1_000;

/** The state of evacuations as a dispatcher knows it. */
export interface EvacuationSource {
  readonly current: () => EvacuationState;
  /** Whether control has proved its leadership recently, so that the state is no older than the proof. */
  readonly isProved: () => boolean;
}

/** Dependencies of the distribution. */
export interface EvacuationDistributorOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Undefined where evacuations are not enabled: nothing is sent, and no worker is marked. */
  readonly evacuations?: EvacuationSource | undefined;
  readonly sessions: ReadonlyMap<SessionNumber, SidecarSession>;
  readonly send: (session: SidecarSession, body: ToWorkerBody) => void;
}

/** Distributes the state of one dispatcher. */
export class EvacuationDistributor {
  readonly #options: EvacuationDistributorOptions;
  #version: EvacuationVersion = 0;
  /** When the version became known, until all sidecars have confirmed it. */
  #unconfirmedSince: Milliseconds | undefined;
  #hasWarned = false;

  constructor(options: EvacuationDistributorOptions) {
    this.#options = options;
  }

  /** Sends the session the state unless that is known there; to be called before any order in the session. */
  notify(session: SidecarSession): void {
    const { timers, evacuations, send } = this.#options;
    if (evacuations === undefined || !session.isOpen) return;
    const state = evacuations.current();
    const isProved = evacuations.isProved();
    const sendable = { version: state.version, isProved };
    const now = timers.now();
    if (!isNoticeDue(session.evacuations, sendable, now)) return;
    recordNotice(session.evacuations, sendable, now);
    send(session, { kind: ToWorkerKind.Evacuations, state, isProved });
  }

  /** Marks a newly announced worker. */
  mark(known: KnownWorker): void {
    const { evacuations, timers } = this.#options;
    if (evacuations === undefined) return;
    const { dataCentre } = known.worker;
    const now = timers.now();
    setEvacuated(known, isEvacuated(evacuations.current(), dataCentre), now);
  }

  /** Applies a changed state: marks the workers, and sends it to all sidecars. */
  applyChange(): void {
    const { evacuations, sessions, timers, logger } = this.#options;
    if (evacuations === undefined) return;
    const state = evacuations.current();
    this.#version = state.version;
    this.#unconfirmedSince = timers.now();
    this.#hasWarned = false;
    logger.info('evacuations sent to sidecars', {
      evacuationVersion: state.version,
      isProved: evacuations.isProved(),
      sidecars: sessions.size,
      evacuations: state.evacuations.map(({ dataCentre, since }) => ({
        dataCentre,
        ageMilliseconds: Math.round(timers.wallClock() - since),
      })),
    });
    for (const session of sessions.values()) {
      if (session.known !== undefined) this.mark(session.known);
      this.notify(session);
    }
  }

  /** Repeats overdue notices and raises the capacity of returning workers. */
  check(): void {
    const now = this.#options.timers.now();
    for (const session of this.#options.sessions.values()) {
      this.notify(session);
      if (session.known !== undefined)
        updateHeldBackProcessors(session.known, now);
    }
    this.#reportConfirmation(now);
  }

  /** Number of workers that were heard lately and would accept tasks without an evacuation. */
  countEvacuatedWorkers(): number {
    const now = this.#options.timers.now();
    return [...this.#options.sessions.values()].filter(
      ({ known, isOpen }) =>
        isOpen && known !== undefined && isEvacuatedAndHeard(known, now),
    ).length;
  }

  /** Number of sidecars that have not confirmed the current version. */
  countUnconfirmed(): number {
    return this.#listUnconfirmed().length;
  }

  #listUnconfirmed(): readonly SidecarSession[] {
    const { evacuations, sessions } = this.#options;
    if (evacuations === undefined) return [];
    const { version } = evacuations.current();
    return [...sessions.values()].filter(
      session => session.isOpen && !isConfirmed(session.evacuations, version),
    );
  }

  #reportConfirmation(now: Milliseconds): void {
    const { logger, sessions } = this.#options;
    if (this.#unconfirmedSince === undefined || sessions.size === 0) return;
    const unconfirmed = this.#listUnconfirmed();
    const fields = {
      evacuationVersion: this.#version,
      ageMilliseconds: Math.round(now - this.#unconfirmedSince),
    };
    if (unconfirmed.length === 0) {
      this.#unconfirmedSince = undefined;
      logger.info('evacuations in force at all sidecars', {
        ...fields,
        sidecars: sessions.size,
      });
      return;
    }
    if (this.#hasWarned || fields.ageMilliseconds < confirmationMilliseconds)
      return;
    this.#hasWarned = true;
    logger.warn('sidecars do not confirm the evacuations', {
      ...fields,
      sidecars: unconfirmed.map(({ peer }) => peer.name),
    });
  }
}

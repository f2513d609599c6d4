/** The sessions of a sidecar with all dispatchers or with the subset that a session plan names. */
import type { RandomSource } from '@cranberryturn/random';
import {
  openSession,
  type SessionListener,
  type SessionTimes,
} from '@cranberryturn/sessions';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  DispatcherId,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import {
  type DispatcherAddress,
  FromTargetKind,
  type FromTargetMessage,
  isToTargetMessage,
  type Network,
  type PeerIdentity,
  type ToTargetMessage,
} from '@cranberryturn/wire';

import {
  type DispatcherLink,
  type DispatcherSession,
  isSameAddress,
  LinkPhase,
  canClose,
  canLeave,
} from './dispatcher-link.js';
import type {
  ServedDispatcher,
  ServedDispatchers,
} from './served-dispatchers.js';

/** Session plan received from a dispatcher. */
export interface PlannedSessions {
  /** Plans with a lower version than the current one are ignored. */
  readonly rosterVersion: number;
  readonly dispatchers: readonly DispatcherAddress[];
  /** Whether seeds that the plan does not name are left as well. */
  readonly leaveOthers: boolean;
}

/** Dependencies and settings of `DispatcherSessions`. */
export interface DispatcherSessionsOptions {
  readonly network: Network;
  /** Dispatchers from the settings, dialled while no plan is known. */
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly dispatchers: ServedDispatchers;
  /** Whether attempts whose results go to this dispatcher are queued or running here. */
  readonly hasWorkFor: (dispatcher: DispatcherId) => boolean;
  readonly createListener: (
    served: ServedDispatcher,
  ) => SessionListener<ToTargetMessage>;
}

const reconcileIntervalMilliseconds: Milliseconds = 1_000;
/** Unplanned sessions are left after this time even if planned ones could not be opened. */
const establishTimeoutMilliseconds: Milliseconds = 10_000;
const onDemandSessionMilliseconds: Milliseconds = 30_000;
/** Silence of all sessions after which the plan is discarded and the seeds are dialled. */
const seedFallbackMilliseconds: Milliseconds = 5_000;

/** Opens and ends sessions so that they match the current plan. */
export class DispatcherSessions {
  readonly #options: DispatcherSessionsOptions;
  readonly #links = new Set<DispatcherLink>();
  readonly #reconcileTimer: TimerSubscription;
  #plan: PlannedSessions | undefined;
  #planReceivedAt: Milliseconds = 0;
  #lastHeardAt: Milliseconds;

  constructor(options: DispatcherSessionsOptions) {
    this.#options = options;
    this.#lastHeardAt = options.timers.now();
    this.#dialSeeds();
    this.#reconcileTimer = options.timers.every(
      reconcileIntervalMilliseconds,
      () => {
        this.#reconcile();
      },
    );
  }

  current(): readonly DispatcherSession[] {
    return [...this.#links].flatMap(link => {
      const session = link.dialer?.current();
      return session === undefined ? [] : [session];
    });
  }

  /**
   * Dials the dispatchers that the plan adds at once. Sessions outside the plan
   * are left once the planned ones are established.
   */
  applyPlan(plan: PlannedSessions): void {
    if (plan.rosterVersion < (this.#plan?.rosterVersion ?? 0)) return;
    this.#plan = plan;
    this.#planReceivedAt = this.#options.timers.now();
    for (const dispatcher of plan.dispatchers) {
      const known = this.#findLink(dispatcher);
      if (known === undefined) this.#dial(dispatcher.address, false);
      else this.#cancelLeaving(known);
    }
  }

  /**
   * Opens a temporary session with a dispatcher outside the plan. An existing
   * session that is silent here as well reconnects, as the dispatcher does not
   * hear it.
   */
  openOnDemand(dispatcher: DispatcherAddress): void {
    const known = this.#findLink(dispatcher);
    known?.dialer?.current()?.suspectIfStale();
    const link = known ?? this.#dial(dispatcher.address, false);
    link.keptUntil = this.#options.timers.now() + onDemandSessionMilliseconds;
    if (known === undefined) this.#changePhase(link, LinkPhase.Leaving);
  }

  close(): void {
    this.#reconcileTimer.cancel();
    for (const link of this.#links) link.dialer?.close();
  }

  #dialSeeds(): void {
    for (const address of this.#options.seeds) {
      const isKnown = [...this.#links].some(link =>
        isSameAddress(link.address, address),
      );
      if (!isKnown) this.#dial(address, true);
    }
  }

  #dial(address: NetworkAddress, isSeed: boolean): DispatcherLink {
    const { network, timers, random, times } = this.#options;
    const link: DispatcherLink = {
      address,
      isSeed,
      dialer: undefined,
      served: undefined,
      phase: LinkPhase.Active,
      phaseStartedAt: timers.now(),
      keptUntil: 0,
    };
    this.#links.add(link);
    link.dialer = openSession<FromTargetMessage, ToTargetMessage>({
      network,
      address,
      timers,
      random,
      times,
      isMessage: isToTargetMessage,
      accepts: peer => !this.#hasOtherSession(link, peer),
      startSession: (peer, send) => this.#startSession(link, peer, send),
    });
    return link;
  }

  #startSession(
    link: DispatcherLink,
    peer: PeerIdentity,
    send: (message: FromTargetMessage) => void,
  ): SessionListener<ToTargetMessage> {
    const isLeaving = link.phase !== LinkPhase.Active;
    const served = this.#options.dispatchers.add(peer.name, send, isLeaving);
    link.served = served;
    return this.#options.createListener(served);
  }

  /** Detects a second address of a dispatcher that is already connected. */
  #hasOtherSession(own: DispatcherLink, peer: PeerIdentity): boolean {
    return [...this.#links].some(link => {
      if (link === own) return false;
      const other = link.dialer?.current()?.peer;
      return (
        other?.name === peer.name && other.incarnation === peer.incarnation
      );
    });
  }

  #findLink(dispatcher: DispatcherAddress): DispatcherLink | undefined {
    return [...this.#links].find(
      link =>
        link.phase !== LinkPhase.Left &&
        (link.dialer?.current()?.peer.name === dispatcher.dispatcherId ||
          isSameAddress(link.address, dispatcher.address)),
    );
  }

  #reconcile(): void {
    for (const link of this.#links) {
      if (link.dialer?.isClosed() === true) this.#links.delete(link);
    }
    if (this.#plan !== undefined && this.#isPlanEstablished(this.#plan)) {
      this.#leaveUnplannedSessions(this.#plan);
    }
    for (const link of this.#links) this.#advanceLink(link);
    this.#fallBackToSeeds();
  }

  /** Returns whether all planned sessions are established or the time limit for them has passed. */
  #isPlanEstablished(plan: PlannedSessions): boolean {
    const waitedMilliseconds =
      this.#options.timers.now() - this.#planReceivedAt;
    if (waitedMilliseconds >= establishTimeoutMilliseconds) return true;
    return plan.dispatchers.every(dispatcher => {
      const session = this.#findLink(dispatcher)?.dialer?.current();
      return session !== undefined && !session.isSuspected;
    });
  }

  #leaveUnplannedSessions(plan: PlannedSessions): void {
    const planned = new Set(
      plan.dispatchers.map(dispatcher => this.#findLink(dispatcher)),
    );
    for (const link of this.#links) {
      if (link.phase !== LinkPhase.Active || planned.has(link)) continue;
      if (link.isSeed && !plan.leaveOthers) continue;
      this.#changePhase(link, LinkPhase.Leaving);
    }
  }

  #advanceLink(link: DispatcherLink): void {
    const now = this.#options.timers.now();
    const { hasWorkFor } = this.#options;
    switch (link.phase) {
      case LinkPhase.Active:
        return;
      case LinkPhase.Leaving:
        if (canLeave(link, now, hasWorkFor)) this.#leaveSession(link);
        return;
      case LinkPhase.Left:
        if (canClose(link, now)) this.#closeLink(link);
        return;
    }
  }

  #leaveSession(link: DispatcherLink): void {
    link.served?.send({ kind: FromTargetKind.SessionLeft });
    link.phase = LinkPhase.Left;
    link.phaseStartedAt = this.#options.timers.now();
  }

  #closeLink(link: DispatcherLink): void {
    link.dialer?.close();
    this.#links.delete(link);
  }

  #cancelLeaving(link: DispatcherLink): void {
    if (link.phase === LinkPhase.Leaving)
      this.#changePhase(link, LinkPhase.Active);
  }

  #changePhase(link: DispatcherLink, phase: LinkPhase): void {
    link.phase = phase;
    link.phaseStartedAt = this.#options.timers.now();
    if (link.served === undefined) return;
    link.served.isLeaving = phase !== LinkPhase.Active;
    this.#options.dispatchers.reportLoad(link.served);
  }

  /** Discards the plan and dials the seeds when all sessions have been silent for too long. */
  #fallBackToSeeds(): void {
    const now = this.#options.timers.now();
    if (this.current().some(session => !session.isSuspected)) {
      this.#lastHeardAt = now;
    }
    if (this.#plan === undefined) return;
    if (now - this.#lastHeardAt < seedFallbackMilliseconds) return;
    this.#plan = undefined;
    for (const link of this.#links) this.#cancelLeaving(link);
    this.#dialSeeds();
  }
}

/** The sessions of a sidecar with dispatchers: all of them, or the subset that they plan. */
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
  type Network,
  type PeerIdentity,
  type ToTargetMessage,
} from '@cranberryturn/wire';

import {
  type DispatcherLink,
  type DispatcherSession,
  isSameAddress,
  LinkPhase,
  mayClose,
  mayLeave,
} from './dispatcher-link.js';
import type {
  ServedDispatcher,
  ServedDispatchers,
} from './served-dispatchers.js';

/** Which dispatchers to have sessions with. */
export interface PlannedSessions {
  readonly rosterVersion: number;
  readonly dispatchers: readonly DispatcherAddress[];
  readonly leaveOthers: boolean;
}

/** What the sessions are built from. */
export interface DispatcherSessionsOptions {
  readonly network: Network;
  /** Dispatchers to dial while no plan is known. */
  readonly seeds: readonly NetworkAddress[];
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly dispatchers: ServedDispatchers;
  /** Whether an attempt waits or runs here whose result this dispatcher wants. */
  readonly hasWorkFor: (dispatcher: DispatcherId) => boolean;
  readonly listen: (
    served: ServedDispatcher,
  ) => SessionListener<ToTargetMessage>;
}

const stepMilliseconds: Milliseconds = 1_000;
const dialGraceMilliseconds: Milliseconds = 10_000;
const onDemandMilliseconds: Milliseconds = 30_000;
const silenceBeforeSeedsMilliseconds: Milliseconds = 5_000;

/** Opens and leaves sessions. */
export class DispatcherSessions {
  readonly #options: DispatcherSessionsOptions;
  readonly #links = new Set<DispatcherLink>();
  readonly #stepping: TimerSubscription;
  #plan: PlannedSessions | undefined;
  #plannedAt: Milliseconds = 0;
  #lastHeard: Milliseconds;

  constructor(options: DispatcherSessionsOptions) {
    this.#options = options;
    this.#lastHeard = options.timers.now();
    this.#dialSeeds();
    this.#stepping = options.timers.every(stepMilliseconds, () => {
      this.#step();
    });
  }

  current(): readonly DispatcherSession[] {
    return [...this.#links].flatMap(link => {
      const session = link.dialer?.current();
      return session === undefined ? [] : [session];
    });
  }

  /** Dials what the plan adds at once; the rest is left once the new sessions stand. */
  applyPlan(plan: PlannedSessions): void {
    if (plan.rosterVersion < (this.#plan?.rosterVersion ?? 0)) return;
    this.#plan = plan;
    this.#plannedAt = this.#options.timers.now();
    for (const dispatcher of plan.dispatchers) {
      const known = this.#find(dispatcher);
      if (known === undefined) this.#dial(dispatcher.address, false);
      else this.#keep(known);
    }
  }

  /**
   * Opens a session for a while with a dispatcher outside the plan. One that
   * stands is renewed when it is silent, as the dispatcher does not hear it.
   */
  openOnDemand(dispatcher: DispatcherAddress): void {
    const known = this.#find(dispatcher);
    known?.dialer?.current()?.renewIfStale();
    const link = known ?? this.#dial(dispatcher.address, false);
    link.keptUntil = this.#options.timers.now() + onDemandMilliseconds;
    if (known === undefined) this.#enter(link, LinkPhase.Leaving);
  }

  close(): void {
    this.#stepping.cancel();
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
      phase: LinkPhase.Wanted,
      since: timers.now(),
      keptUntil: 0,
    };
    this.#links.add(link);
    link.dialer = openSession<FromTargetMessage, ToTargetMessage>({
      network,
      address,
      timers,
      random,
      times,
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
    const isLeaving = link.phase !== LinkPhase.Wanted;
    const served = this.#options.dispatchers.add(peer.name, send, isLeaving);
    link.served = served;
    return this.#options.listen(served);
  }

  /** Two addresses may lead to one dispatcher. */
  #hasOtherSession(own: DispatcherLink, peer: PeerIdentity): boolean {
    return [...this.#links].some(link => {
      if (link === own) return false;
      const other = link.dialer?.current()?.peer;
      return (
        other?.name === peer.name && other.incarnation === peer.incarnation
      );
    });
  }

  #find(dispatcher: DispatcherAddress): DispatcherLink | undefined {
    return [...this.#links].find(
      link =>
        link.phase !== LinkPhase.Left &&
        (link.dialer?.current()?.peer.name === dispatcher.dispatcherId ||
          isSameAddress(link.address, dispatcher.address)),
    );
  }

  #step(): void {
    for (const link of this.#links) {
      if (link.dialer?.isClosed() === true) this.#links.delete(link);
    }
    if (this.#plan !== undefined && this.#isReady(this.#plan)) {
      this.#leaveOthers(this.#plan);
    }
    for (const link of this.#links) this.#stepLink(link);
    this.#seekSeeds();
  }

  /** Whether the sessions of the plan stand, or some cannot be opened. */
  #isReady(plan: PlannedSessions): boolean {
    const waited = this.#options.timers.now() - this.#plannedAt;
    if (waited >= dialGraceMilliseconds) return true;
    return plan.dispatchers.every(one => {
      const session = this.#find(one)?.dialer?.current();
      return session !== undefined && !session.isSuspected;
    });
  }

  #leaveOthers(plan: PlannedSessions): void {
    const planned = new Set(plan.dispatchers.map(one => this.#find(one)));
    for (const link of this.#links) {
      if (link.phase !== LinkPhase.Wanted || planned.has(link)) continue;
      if (link.isSeed && !plan.leaveOthers) continue;
      this.#enter(link, LinkPhase.Leaving);
    }
  }

  #stepLink(link: DispatcherLink): void {
    const now = this.#options.timers.now();
    const { hasWorkFor } = this.#options;
    switch (link.phase) {
      case LinkPhase.Wanted:
        return;
      case LinkPhase.Leaving:
        if (mayLeave(link, now, hasWorkFor)) this.#leave(link);
        return;
      case LinkPhase.Left:
        if (mayClose(link, now)) this.#drop(link);
        return;
    }
  }

  #leave(link: DispatcherLink): void {
    link.served?.send({ kind: FromTargetKind.SessionLeft });
    link.phase = LinkPhase.Left;
    link.since = this.#options.timers.now();
  }

  #drop(link: DispatcherLink): void {
    link.dialer?.close();
    this.#links.delete(link);
  }

  #keep(link: DispatcherLink): void {
    if (link.phase === LinkPhase.Leaving) this.#enter(link, LinkPhase.Wanted);
  }

  #enter(link: DispatcherLink, phase: LinkPhase): void {
    link.phase = phase;
    link.since = this.#options.timers.now();
    if (link.served === undefined) return;
    link.served.leaving = phase !== LinkPhase.Wanted;
    this.#options.dispatchers.reportLoad(link.served);
  }

  /** A sidecar whose whole subset is silent starts over from its settings. */
  #seekSeeds(): void {
    const now = this.#options.timers.now();
    if (this.current().some(session => !session.isSuspected)) {
      this.#lastHeard = now;
    }
    if (this.#plan === undefined) return;
    if (now - this.#lastHeard < silenceBeforeSeedsMilliseconds) return;
    this.#plan = undefined;
    for (const link of this.#links) this.#keep(link);
    this.#dialSeeds();
  }
}

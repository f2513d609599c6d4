/** Sends the list of dispatchers to the sidecars, which choose those that they keep sessions with. */
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { DispatcherList, Milliseconds } from '@cranberryturn/types';
import { type ToWorkerBody, ToWorkerKind } from '@cranberryturn/wire';

import type { SessionNumber, SidecarSession } from './sidecar-session.js';

/**
 * Maximum delay of a changed list. Each dispatcher draws its own delay, so that most sidecars have
 * received the list from another dispatcher by then and need no second copy.
 */
const maximumDelayMilliseconds: Milliseconds = 1_000;

/** Dependencies of the distribution. */
export interface DispatcherListOptions {
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly listDispatchers: () => DispatcherList;
  readonly sessions: ReadonlyMap<SessionNumber, SidecarSession>;
  readonly send: (session: SidecarSession, body: ToWorkerBody) => void;
}

/** Sends the list of dispatchers to the sidecars that have not received it. */
export class DispatcherListDistributor {
  readonly #options: DispatcherListOptions;
  #timer: TimerSubscription | undefined;

  constructor(options: DispatcherListOptions) {
    this.#options = options;
  }

  /**
   * Sends a changed list to the sidecars that have not received it from another dispatcher meanwhile, and at once to
   * those that have none, as after an outage: no dispatcher coordinates their workers yet.
   */
  schedule(): void {
    const { timers, random, sessions } = this.#options;
    for (const session of sessions.values())
      if (session.listVersion === 0) this.update(session);
    const delayMilliseconds = random.fraction() * maximumDelayMilliseconds;
    this.#timer ??= timers.after(delayMilliseconds, () => {
      this.#timer = undefined;
      for (const session of sessions.values()) this.update(session);
    });
  }

  /** Sends the list to one sidecar, unless it is known to have it. */
  update(session: SidecarSession): void {
    const { version, dispatchers } = this.#options.listDispatchers();
    if (!session.isOpen || session.listVersion >= version) return;
    session.listVersion = version;
    this.#options.send(session, {
      kind: ToWorkerKind.KnownDispatchers,
      version,
      dispatchers,
    });
  }

  close(): void {
    this.#timer?.cancel();
  }
}

/** Keeps track of the dispatcher that coordinates the worker of this sidecar, and tells all dispatchers. */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  KnownDispatcher,
  Milliseconds,
} from '@cranberryturn/types';
import { type FromWorkerBody, FromWorkerKind } from '@cranberryturn/wire';

import type { DispatcherSession } from '../dispatcher-session.js';
import { SessionPhase } from '../session-phase.js';
import { chooseCoordinator, rankCoordinators } from './choose-coordinator.js';

/** A dispatcher that has just connected may be starting, and may be gone again soon. */
const settledMilliseconds: Milliseconds = 2_000;

/** Dependencies of the coordination. */
export interface WorkerCoordinationOptions {
  /** Name of this sidecar. */
  readonly name: string;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly listConnected: () => readonly DispatcherSession[];
  readonly send: (session: DispatcherSession, body: FromWorkerBody) => void;
}

/** The coordination of one worker. */
export class WorkerCoordination {
  readonly #options: WorkerCoordinationOptions;
  #ranked: readonly KnownDispatcher[] = [];
  #coordinator: DispatcherId | undefined;
  /** What was told last, to send it only after a change. */
  #told = '';

  constructor(options: WorkerCoordinationOptions) {
    this.#options = options;
  }

  /** The dispatcher that coordinates the worker; undefined before the list of dispatchers is known. */
  get coordinator(): DispatcherId | undefined {
    return this.#coordinator;
  }

  /** The preferred dispatcher, which the sidecar keeps a session with; undefined where none coordinates. */
  get preferred(): KnownDispatcher | undefined {
    return this.#ranked[0];
  }

  updateDispatchers(dispatchers: readonly KnownDispatcher[]): void {
    this.#ranked = rankCoordinators(this.#options.name, dispatchers);
  }

  /** Chooses again, and tells all dispatchers of a change. */
  check(): void {
    const { logger, listConnected, send } = this.#options;
    const sessions = listConnected();
    const coordinator = this.#choose(sessions);
    if (coordinator !== this.#coordinator) {
      logger.info('worker coordinated by', { coordinator });
      this.#coordinator = coordinator;
    }
    const body = this.#compose(sessions);
    const described = JSON.stringify(body);
    if (described === this.#told) return;
    this.#told = described;
    for (const session of sessions) send(session, body);
  }

  /** Tells one dispatcher, whose session has just opened. */
  tell(session: DispatcherSession): void {
    const { listConnected, send } = this.#options;
    send(session, this.#compose(listConnected()));
  }

  #choose(sessions: readonly DispatcherSession[]): DispatcherId | undefined {
    const now = this.#options.timers.now();
    const open = sessions.filter(({ phase }) => phase === SessionPhase.Open);
    const settled = open.filter(
      ({ connectedAt }) => now - connectedAt >= settledMilliseconds,
    );
    // After a start of all processes none has settled, and all sidecars soon agree on the preferred one.
    const candidates = settled.length > 0 ? settled : open;
    return chooseCoordinator(this.#ranked, dispatcher =>
      candidates.some(({ dispatcherId }) => dispatcherId === dispatcher),
    );
  }

  #compose(sessions: readonly DispatcherSession[]): FromWorkerBody {
    return {
      kind: FromWorkerKind.Coordination,
      coordinator: this.#coordinator,
      dispatchers: sessions
        .filter(({ phase }) => phase === SessionPhase.Open)
        .map(({ dispatcherId }) => dispatcherId)
        .toSorted(),
    };
  }
}

/** One session of a sidecar with a dispatcher, and what its events lead to. */
import type { Logger } from '@cranberryturn/logger';
import type { SessionListener } from '@cranberryturn/sessions';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';
import type { FromWorkerMessage, ToWorkerMessage } from '@cranberryturn/wire';

import type { RunSelection } from './active-run.js';
import { SessionPhase } from './session-phase.js';

/** Time to replace a lost connection before the runs of its dispatcher are stopped. */
const reconnectGraceMilliseconds: Milliseconds = 300;

/** The session with one dispatcher. */
export interface DispatcherSession {
  readonly dispatcherId: DispatcherId;
  /** The process of the dispatcher. */
  readonly incarnation: string;
  readonly send: (message: FromWorkerMessage) => void;
  /** Whether the session has a live connection. */
  isConnected: boolean;
  /** When the session was last connected anew. */
  connectedAt: Milliseconds;
  phase: SessionPhase;
  lastSentAt: Milliseconds;
  /** Number of placement orders received in this session. */
  orders: number;
}

/** Session events, and the query that the sessions need in return. */
export interface DispatcherEvents {
  readonly sessionOpened: (session: DispatcherSession) => void;
  /** The dispatcher is silent or its connection has ended; the session may resume. */
  readonly sessionSuspected: () => void;
  readonly received: (
    session: DispatcherSession,
    message: ToWorkerMessage,
  ) => void;
  /** The session has entered another phase, of which its dispatcher has to be told. */
  readonly phaseChanged: (session: DispatcherSession) => void;
  /** The dispatcher was restarted, is gone, or did not reconnect in time. May be called more than once for a session. */
  readonly sessionLost: (session: DispatcherSession) => void;
  readonly hasWorkFor: (dispatcher: DispatcherId) => boolean;
}

/** Dependencies of a listener. */
export interface DispatcherListenerDependencies extends DispatcherEvents {
  readonly timers: TimerService;
  readonly logger: Logger;
}

/** Creates the listener of a session. `close` is called once a session that was left has lost its connection. */
export function listenToDispatcher(
  session: DispatcherSession,
  dependencies: DispatcherListenerDependencies,
  close: () => void,
): SessionListener<ToWorkerMessage> {
  const {
    timers,
    logger,
    received,
    sessionOpened,
    sessionSuspected,
    sessionLost,
    hasWorkFor,
  } = dependencies;
  const { dispatcherId, incarnation } = session;
  let reconnectTimer: TimerSubscription | undefined;
  return {
    messageReceived: message => {
      received(session, message);
    },
    hasWork: () => hasWorkFor(dispatcherId),
    connected: () => {
      reconnectTimer?.cancel();
      session.isConnected = true;
      session.connectedAt = timers.now();
      logger.info('dispatcher connected', { dispatcherId, incarnation });
      sessionOpened(session);
    },
    suspected: () => {
      session.isConnected = false;
      if (session.phase === SessionPhase.Left) {
        close();
        return;
      }
      logger.warn('dispatcher not heard', { dispatcherId });
      sessionSuspected();
      reconnectTimer?.cancel();
      reconnectTimer = timers.after(reconnectGraceMilliseconds, () => {
        if (!session.isConnected) sessionLost(session);
      });
    },
    ended: reason => {
      reconnectTimer?.cancel();
      session.isConnected = false;
      logger.info('session with dispatcher ended', {
        dispatcherId,
        incarnation,
        reason,
      });
      sessionLost(session);
    },
  };
}

/** Selects runs of the dispatcher of a session. */
export function selectRuns(
  { dispatcherId }: DispatcherSession,
  { jobId, taskIds }: Pick<Required<RunSelection>, 'jobId' | 'taskIds'>,
): RunSelection {
  return { dispatcher: dispatcherId, jobId, taskIds };
}

/** A stand-in for a dispatcher in measurements of a sidecar: accepts sessions and starts attempts. */
import { acceptSessions, defaultSessionTimes } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  AttemptResult,
  AttemptStart,
  NetworkAddress,
} from '@cranberryturn/types';
import {
  createWebSocketNetwork,
  type FromTargetMessage,
  FromTargetKind,
  type ToTargetMessage,
  ToTargetKind,
} from '@cranberryturn/wire';

import { createDispatcherIdentity } from './identities.js';
import { measuredKeys } from './measured-keys.js';

/** A stand-in dispatcher that listens. */
export interface StandInDispatcher {
  readonly address: NetworkAddress;
  /** Resolves at the first announcement of a sidecar. */
  waitForTarget(): Promise<void>;
  /** Starts an attempt on the sidecar with the latest session; does nothing without a session. */
  startAttempt(attempt: AttemptStart): void;
}

/** Starts a stand-in dispatcher on a free port of the loopback interface. */
export async function startStandInDispatcher(
  number: number,
  timers: TimerService,
  attemptEnded: (result: AttemptResult) => void,
): Promise<StandInDispatcher> {
  let send: ((message: ToTargetMessage) => void) | undefined;
  let announced: () => void = () => undefined;
  const firstAnnouncement = new Promise<void>(resolve => {
    announced = resolve;
  });
  const network = createWebSocketNetwork({
    self: createDispatcherIdentity(number),
    keys: measuredKeys,
    timers,
  });
  const acceptor = acceptSessions<ToTargetMessage, FromTargetMessage>({
    timers,
    times: defaultSessionTimes,
    startSession: (_, sendToPeer) => {
      send = sendToPeer;
      return {
        messageReceived: message => {
          if (message.kind === FromTargetKind.Announce) announced();
          if (message.kind !== FromTargetKind.AttemptEnded) return;
          attemptEnded(message.result);
        },
        connected: () => undefined,
        suspected: () => undefined,
        ended: () => undefined,
      };
    },
  });
  const listener = await network.listen(
    { address: '127.0.0.1', port: 0 },
    connection => {
      void acceptor.acceptConnection(connection);
    },
  );
  return {
    address: listener._unsafeUnwrap().address,
    waitForTarget: () => firstAnnouncement,
    startAttempt: attempt => {
      send?.({ kind: ToTargetKind.StartAttempt, attempt });
    },
  };
}

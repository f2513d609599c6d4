/** A dispatcher for measurements of a sidecar: accepts its session and hands out attempts. */
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

/** A running stand-in dispatcher. */
export interface StandInDispatcher {
  readonly address: NetworkAddress;
  /** Resolves once a sidecar has announced itself. */
  waitForTarget(): Promise<void>;
  /** Starts one attempt on the sidecar that announced itself last. */
  startAttempt(attempt: AttemptStart): void;
}

/** Starts a stand-in dispatcher on a free port. */
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

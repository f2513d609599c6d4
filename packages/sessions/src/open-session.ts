/** Dialling side of a session: dials, and reconnects with exponential backoff. */
import type { RandomSource } from '@cranberryturn/random';
import { rethrowLater, sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import {
  chooseDialTimeout,
  type Connection,
  dialWithin,
  isStartupPeriod,
  type Network,
  type PeerIdentity,
  type ShapeCheck,
} from '@cranberryturn/wire';
import { err, ok, type Result } from 'neverthrow';

import { readOpenFrame, sendOpenFrame } from './exchange-open-frames.js';
import { Session } from './session.js';
import { SessionEndReason, type StartSession } from './session-types.js';
import type { SessionTimes } from './session-liveness.js';

const minimumBackoffMilliseconds: Milliseconds = 50;
const maximumBackoffMilliseconds: Milliseconds = 1_000;
const dialTimeoutMilliseconds: Milliseconds = 2_000;
/** Session numbers are random 32-bit values. */
const sessionNumberRange = 2 ** 32;
const openTimeoutMilliseconds: Milliseconds = 1_000;

/** Dependencies and settings of the dialling side. */
export interface OpenSessionOptions<Outgoing, Incoming> {
  readonly network: Network;
  readonly address: NetworkAddress;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  /** Returns false to reject a peer, which stops dialling permanently. All peers are accepted by default. */
  readonly accepts?: ((peer: PeerIdentity) => boolean) | undefined;
  /** Checks each decoded message; all are accepted by default. */
  readonly isMessage?: ShapeCheck | undefined;
  readonly startSession: StartSession<Outgoing, Incoming>;
}

/** Dialling side of a session with the process at one address. */
export interface SessionDialer<Outgoing, Incoming> {
  /** The session with the latest incarnation of the peer; undefined before the first connection. */
  current(): Session<Outgoing, Incoming> | undefined;
  /** Whether dialling has stopped, by `close` or because the peer was rejected. */
  isClosed(): boolean;
  /** Ends the session and stops dialling. */
  close(): void;
}

interface OpenedConnection {
  readonly connection: Connection;
  readonly frames: AsyncIterableIterator<Uint8Array>;
  readonly peerReceived: number;
}

/**
 * Maintains a session with the process at an address until it is closed. A
 * restarted peer gets a new session.
 */
export function openSession<Outgoing, Incoming>(
  options: OpenSessionOptions<Outgoing, Incoming>,
): SessionDialer<Outgoing, Incoming> {
  const { timers } = options;
  const startedAt = timers.now();
  let session: Session<Outgoing, Incoming> | undefined;
  let closed = false;

  const findOrCreateSession = (
    connection: Connection,
  ): Session<Outgoing, Incoming> => {
    const { peer } = connection;
    if (session?.peer.incarnation === peer.incarnation) return session;
    session?.end(SessionEndReason.PeerRestarted);
    const created = new Session<Outgoing, Incoming>({
      peer,
      session: options.random.below(sessionNumberRange),
      timers,
      times: options.times,
      isMessage: options.isMessage,
      startSession: options.startSession,
    });
    session = created;
    return created;
  };

  const connectOnce = async (): Promise<Result<void, Error>> => {
    const dialled = await dialWithin(
      options.network,
      timers,
      options.address,
      chooseDialTimeout(timers.now() - startedAt, dialTimeoutMilliseconds),
    );
    if (dialled.isErr()) return err(dialled.error);
    const connection = dialled.value;
    if (options.accepts?.(connection.peer) === false) {
      closed = true;
      connection.close();
      return ok(undefined);
    }
    const next = findOrCreateSession(connection);
    const opened = await exchangeOpenFrames(connection, next, timers);
    if (opened.isErr()) return err(opened.error);
    if (closed) {
      connection.close();
      return ok(undefined);
    }
    void next.serveConnection(
      connection,
      opened.value.frames,
      opened.value.peerReceived,
    );
    await next.waitUntilSuspected();
    return ok(undefined);
  };

  /** An unexpected error of a listener must not end the loop: the session would stay without a connection. */
  const connectSafely = async (): Promise<Result<void, Error>> => {
    try {
      return await connectOnce();
    } catch (error) {
      rethrowLater(error);
      return err(error as Error);
    }
  };

  const keepConnected = async (): Promise<void> => {
    let backoffMilliseconds = minimumBackoffMilliseconds;
    for (;;) {
      const outcome = await connectSafely();
      if (closed) return;
      if (outcome.isOk()) {
        backoffMilliseconds = minimumBackoffMilliseconds;
        continue;
      }
      await sleep(
        timers,
        backoffMilliseconds * (0.5 + options.random.fraction()),
      );
      if (isStartupPeriod(timers.now() - startedAt)) continue;
      backoffMilliseconds = Math.min(
        backoffMilliseconds * 2,
        maximumBackoffMilliseconds,
      );
    }
  };

  void keepConnected();
  return {
    current: () => session,
    isClosed: () => closed,
    close: () => {
      closed = true;
      session?.end(SessionEndReason.ClosedHere);
    },
  };
}

async function exchangeOpenFrames(
  connection: Connection,
  session: Session<never, never> | Session<unknown, unknown>,
  timers: TimerService,
): Promise<Result<OpenedConnection, Error>> {
  const expiry = timers.after(openTimeoutMilliseconds, () => {
    connection.close();
  });
  sendOpenFrame(connection, session);
  const frames = connection
    .receive()
    [Symbol.asyncIterator]() as AsyncIterableIterator<Uint8Array>;
  const open = await readOpenFrame(connection, frames);
  expiry.cancel();
  return open.map(frame => ({
    connection,
    frames,
    peerReceived: frame.received,
  }));
}

/** The dialling end of a session: one task keeps it connected. */
import type { RandomSource } from '@cranberryturn/random';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import {
  chooseDialTimeout,
  type Connection,
  dialWithin,
  isStartPeriod,
  type Network,
  type PeerIdentity,
} from '@cranberryturn/wire';
import { err, ok, type Result } from 'neverthrow';

import { readOpenFrame, sendOpenFrame } from './exchange-open-frames.js';
import { Session } from './session.js';
import { SessionEndReason, type StartSession } from './session-types.js';
import type { SessionTimes } from './session-liveness.js';

const minimumBackoffMilliseconds: Milliseconds = 50;
const maximumBackoffMilliseconds: Milliseconds = 1_000;
const dialTimeoutMilliseconds: Milliseconds = 2_000;
const sessionNumbers = 2 ** 32;
const openTimeoutMilliseconds: Milliseconds = 1_000;

/** What the dialling end is built from. */
export interface OpenSessionOptions<Outgoing, Incoming> {
  readonly network: Network;
  readonly address: NetworkAddress;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  /** Refuses a peer, which ends the dialling; every peer is accepted without it. */
  readonly accepts?: ((peer: PeerIdentity) => boolean) | undefined;
  readonly startSession: StartSession<Outgoing, Incoming>;
}

/** The dialling end of a session to one address. */
export interface SessionDialer<Outgoing, Incoming> {
  /** The session with the present run of the peer, when there is one. */
  current(): Session<Outgoing, Incoming> | undefined;
  /** Whether no further connection is dialled. */
  isClosed(): boolean;
  /** Ends the session and stops dialling. */
  close(): void;
}

interface OpenedConnection {
  readonly connection: Connection;
  readonly frames: AsyncIterableIterator<Uint8Array>;
  readonly peerReceived: number;
}

/** Keeps a session with the process at an address, over as many connections as it takes. */
export function openSession<Outgoing, Incoming>(
  options: OpenSessionOptions<Outgoing, Incoming>,
): SessionDialer<Outgoing, Incoming> {
  const { timers } = options;
  const startedAt = timers.now();
  let session: Session<Outgoing, Incoming> | undefined;
  let closed = false;

  const sessionWith = (connection: Connection): Session<Outgoing, Incoming> => {
    const { peer } = connection;
    if (session?.peer.incarnation === peer.incarnation) return session;
    session?.end(SessionEndReason.PeerRestarted);
    const created = new Session<Outgoing, Incoming>({
      peer,
      session: options.random.below(sessionNumbers),
      timers,
      times: options.times,
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
    const next = sessionWith(connection);
    const opened = await exchange(connection, next, timers);
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

  const maintain = async (): Promise<void> => {
    let backoff = minimumBackoffMilliseconds;
    for (;;) {
      const outcome = await connectOnce();
      if (closed) return;
      if (outcome.isOk()) {
        backoff = minimumBackoffMilliseconds;
        continue;
      }
      await sleep(timers, backoff * (0.5 + options.random.fraction()));
      if (isStartPeriod(timers.now() - startedAt)) continue;
      backoff = Math.min(backoff * 2, maximumBackoffMilliseconds);
    }
  };

  void maintain();
  return {
    current: () => session,
    isClosed: () => closed,
    close: () => {
      closed = true;
      session?.end(SessionEndReason.ClosedHere);
    },
  };
}

async function exchange(
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

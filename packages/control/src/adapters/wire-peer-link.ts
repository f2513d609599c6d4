/** Carries messages between the replicas of the log over the network of our own processes. */
import { ConnectionError } from '@cranberryturn/errors';
import type {
  PeerLink,
  PeerMessage,
  PeerReply,
} from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  NetworkAddress,
  ReplicaId,
} from '@cranberryturn/types';
import {
  type Connection,
  dialWithin,
  type Network,
  type RemoteCalls,
  serveRemoteCalls,
} from '@cranberryturn/wire';
import { err, errAsync, ok, type Result, ResultAsync } from 'neverthrow';

const callTimeout: Milliseconds = 2_000;
const silenceLimit: Milliseconds = 1_000;
const dialTimeout: Milliseconds = 1_000;

/** One message between replicas, with its sender. */
export interface PeerEnvelope {
  readonly from: ReplicaId;
  readonly message: PeerMessage;
}

/** What the link needs. */
export interface WirePeerLinkOptions {
  readonly network: Network;
  readonly timers: TimerService;
  /** Identity of this replica. */
  readonly self: () => ReplicaId;
  /** Address of a replica; undefined when it is not known. */
  readonly findAddress: (replica: ReplicaId) => NetworkAddress | undefined;
}

/** A link that can be closed. */
export interface WirePeerLink extends PeerLink {
  close(): void;
}

/** Handles the messages of other replicas on one connection until it ends. */
export async function servePeer(
  connection: Connection,
  timers: TimerService,
  handle: (envelope: PeerEnvelope) => Promise<PeerReply>,
): Promise<void> {
  const calls = serveRemoteCalls(connection, timers, {
    handleCall: body => handle(body as PeerEnvelope),
  });
  await calls.ended;
}

/** Creates a link that keeps one connection to each peer and replaces it when it falls silent. */
export function createWirePeerLink(options: WirePeerLinkOptions): WirePeerLink {
  const { timers } = options;
  const open = new Map<ReplicaId, RemoteCalls>();
  const dialling = new Map<
    ReplicaId,
    Promise<Result<RemoteCalls, ConnectionError>>
  >();
  let closed = false;

  const connect = async (
    peer: ReplicaId,
  ): Promise<Result<RemoteCalls, ConnectionError>> => {
    const address = options.findAddress(peer);
    if (address === undefined) {
      dialling.delete(peer);
      return err(unknownPeer(peer));
    }
    const { network } = options;
    const dialled = await dialWithin(network, timers, address, dialTimeout);
    dialling.delete(peer);
    if (dialled.isErr()) {
      const { error } = dialled;
      return err(new ConnectionError(error.message, error, error));
    }
    const calls = serveRemoteCalls(dialled.value, timers, {
      handleCall: () => Promise.resolve(undefined),
    });
    if (closed) calls.connection.close();
    open.set(peer, calls);
    void calls.ended.then(() => {
      if (open.get(peer) === calls) open.delete(peer);
    });
    return ok(calls);
  };

  const findCalls = (
    peer: ReplicaId,
  ): Promise<Result<RemoteCalls, ConnectionError>> => {
    const known = open.get(peer);
    if (known !== undefined) return Promise.resolve(ok(known));
    const waiting = dialling.get(peer) ?? connect(peer);
    dialling.set(peer, waiting);
    return waiting;
  };

  const dropSilent = (peer: ReplicaId, calls: RemoteCalls): void => {
    if (timers.now() - calls.lastReceived() < silenceLimit) return;
    if (open.get(peer) === calls) open.delete(peer);
    calls.connection.close();
  };

  return {
    call: (peer, message) => {
      if (closed) return errAsync(unknownPeer(peer));
      return new ResultAsync(findCalls(peer)).andThen(calls => {
        const watch = timers.after(silenceLimit, () => {
          dropSilent(peer, calls);
        });
        const envelope: PeerEnvelope = { from: options.self(), message };
        return calls
          .call<PeerReply>(envelope, callTimeout)
          .andTee(() => {
            watch.cancel();
          })
          .orTee(() => {
            watch.cancel();
          });
      });
    },
    close: () => {
      closed = true;
      for (const calls of open.values()) calls.connection.close();
    },
  };
}

function unknownPeer(peer: ReplicaId): ConnectionError {
  return new ConnectionError(
    `No address of replica ${peer} is known, or this replica is stopping.`,
    { step: 'find replica', peer },
  );
}

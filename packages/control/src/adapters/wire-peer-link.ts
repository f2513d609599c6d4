/** Carries messages between control replicas over the wire protocol. */
import { ConnectionError, type TimeoutError } from '@cranberryturn/errors';
import {
  type PeerLink,
  type PeerMessage,
  type PeerReply,
  PeerReplyKind,
} from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  NetworkAddress,
  ReplicaId,
} from '@cranberryturn/types';
import {
  chooseDialTimeout,
  type Connection,
  dialWithin,
  isNetworkAddress,
  isOneOf,
  isOptional,
  isRecord,
  isText,
  isVariant,
  type Network,
  type PropagationTimes,
  type RemoteCalls,
  requireShape,
  serveRemoteCalls,
  type ShapeCheck,
} from '@cranberryturn/wire';
import {
  type AdministrationCall,
  type AdministrationReply,
  AdministrationReplyKind,
} from '../administration-calls.js';
import {
  type JoiningReplica,
  type JoinReply,
  type PeerEnvelope,
  PeerEnvelopeKind,
} from '../peer-protocol.js';
import { err, errAsync, ok, type Result, ResultAsync } from 'neverthrow';

import {
  isAdministrationCall,
  isJoiningReplica,
  isPeerMessage,
  isPeerReply,
} from './check-peer-messages.js';

const callTimeoutMilliseconds: Milliseconds = 2_000;
const administrationTimeoutMilliseconds: Milliseconds = 6_000;

/** A leader of an earlier version replies nothing to a call that it does not know. */
const isAdministrationReply = isOptional(
  isRecord({ kind: isOneOf(AdministrationReplyKind) }),
);
const isPeerEnvelope = isVariant('kind', {
  [PeerEnvelopeKind.Log]: isRecord({ from: isText, message: isPeerMessage }),
  [PeerEnvelopeKind.Administration]: isRecord({ call: isAdministrationCall }),
  [PeerEnvelopeKind.JoinRequest]: isRecord({ candidate: isJoiningReplica }),
  [PeerEnvelopeKind.LeaderAnnouncement]: isRecord({ leader: isNetworkAddress }),
});

/** Handlers of the messages from other replicas. */
export interface PeerHandlers {
  readonly handleMessage: (
    from: ReplicaId,
    message: PeerMessage,
  ) => Promise<PeerReply>;
  readonly administer: (
    call: AdministrationCall,
  ) => Promise<AdministrationReply>;
  readonly handleJoinRequest: (candidate: JoiningReplica) => JoinReply;
  readonly handleAnnouncement: (leader: NetworkAddress) => void;
}

/** Dependencies of the link. */
export interface WirePeerLinkOptions {
  /**
   * Undefined until the log is open, because the network is joined under the identity in the log.
   */
  readonly network: () => Network | undefined;
  readonly timers: TimerService;
  readonly times: PropagationTimes;
  readonly self: () => ReplicaId;
  /** Finds the address of a replica; undefined when unknown. */
  readonly findAddress: (replica: ReplicaId) => NetworkAddress | undefined;
  /** Called when another identity answers at the address of a replica. */
  readonly handleReplaced: (replica: ReplicaId) => void;
}

/** The link of the log, with the other calls between replicas. */
export interface WirePeerLink extends PeerLink {
  /**
   * Forwards an administration call to the leader. Resolves with undefined when the leader runs a version
   * that does not know the call.
   */
  administer(
    leader: ReplicaId,
    call: AdministrationCall,
  ): ResultAsync<
    AdministrationReply | undefined,
    ConnectionError | TimeoutError
  >;
  /**
   * Time since a replica was last heard; undefined without a connection to it. A stopped replica counts as silent, although
   * its process replies for it: it neither votes nor stores anything.
   */
  findSilence(replica: ReplicaId): Milliseconds | undefined;
  close(): void;
}

/** Serves a connection from another replica until the connection ends. */
export async function servePeer(
  connection: Connection,
  timers: TimerService,
  handlers: PeerHandlers,
): Promise<void> {
  const calls = serveRemoteCalls(connection, timers, {
    handleCall: async body =>
      handleEnvelope(
        handlers,
        requireShape<PeerEnvelope>(body, isPeerEnvelope, connection.peer.name),
      ),
  });
  await calls.ended;
}

async function handleEnvelope(
  handlers: PeerHandlers,
  envelope: PeerEnvelope,
): Promise<PeerReply | AdministrationReply | JoinReply | undefined> {
  switch (envelope.kind) {
    case PeerEnvelopeKind.Log:
      return await handlers.handleMessage(envelope.from, envelope.message);
    case PeerEnvelopeKind.Administration:
      return await handlers.administer(envelope.call);
    case PeerEnvelopeKind.JoinRequest:
      return handlers.handleJoinRequest(envelope.candidate);
    case PeerEnvelopeKind.LeaderAnnouncement:
      handlers.handleAnnouncement(envelope.leader);
      return undefined;
  }
}

/**
 * Creates a link with one connection per peer. A connection that is silent during a call is closed and
 * dialled again.
 */
export function createWirePeerLink(options: WirePeerLinkOptions): WirePeerLink {
  const { timers, times } = options;
  const openCalls = new Map<ReplicaId, RemoteCalls>();
  const dialling = new Map<
    ReplicaId,
    Promise<Result<RemoteCalls, ConnectionError>>
  >();
  /** Replicas that reply that they have stopped, and when they first did. */
  const stoppedSince = new Map<ReplicaId, Milliseconds>();
  const startedAt = timers.now();
  let closed = false;

  const connect = async (
    peer: ReplicaId,
  ): Promise<Result<RemoteCalls, ConnectionError>> => {
    const address = options.findAddress(peer);
    const network = options.network();
    if (address === undefined || network === undefined) {
      return err(createUnknownPeerError(peer));
    }
    const timeout = chooseDialTimeout(
      timers.now() - startedAt,
      times.dialMilliseconds,
    );
    const dialled = await dialWithin(network, timers, address, timeout);
    if (dialled.isErr()) {
      const { error } = dialled;
      return err(new ConnectionError(error.message, error, error));
    }
    const calls = serveRemoteCalls(dialled.value, timers, {
      handleCall: () => Promise.resolve(undefined),
    });
    if (closed) calls.connection.close();
    openCalls.set(peer, calls);
    void calls.ended.then(() => {
      if (openCalls.get(peer) === calls) openCalls.delete(peer);
    });
    return ok(calls);
  };

  const findCalls = (
    peer: ReplicaId,
  ): Promise<Result<RemoteCalls, ConnectionError>> => {
    const known = openCalls.get(peer);
    if (known !== undefined) return Promise.resolve(ok(known));
    const waiting = dialling.get(peer);
    if (waiting !== undefined) return waiting;
    const started = connect(peer);
    dialling.set(peer, started);
    void started.then(() => dialling.delete(peer));
    return started;
  };

  const closeIfSilent = (peer: ReplicaId, calls: RemoteCalls): void => {
    if (timers.now() - calls.lastReceived() < times.silenceMilliseconds) return;
    if (openCalls.get(peer) === calls) openCalls.delete(peer);
    calls.connection.close();
  };

  const send = <Reply>(
    peer: ReplicaId,
    envelope: PeerEnvelope,
    timeout: Milliseconds,
    isReply: ShapeCheck,
  ): ResultAsync<Reply, ConnectionError | TimeoutError> => {
    if (closed) return errAsync(createUnknownPeerError(peer));
    return new ResultAsync(findCalls(peer)).andThen(calls => {
      const silenceTimer = timers.after(times.silenceMilliseconds, () => {
        closeIfSilent(peer, calls);
      });
      const cancelSilenceTimer = (): void => {
        silenceTimer.cancel();
      };
      return calls
        .call<Reply>(envelope, timeout, isReply)
        .andTee(cancelSilenceTimer)
        .orTee(cancelSilenceTimer);
    });
  };

  return {
    call: (peer, message) =>
      send<PeerReply>(
        peer,
        { kind: PeerEnvelopeKind.Log, from: options.self(), message },
        callTimeoutMilliseconds,
        isPeerReply,
      ).andTee(reply => {
        const refusal =
          reply.kind === PeerReplyKind.Refused ? reply : undefined;
        if (refusal?.wrongIdentity === true) options.handleReplaced(peer);
        if (refusal?.isStopped !== true) stoppedSince.delete(peer);
        else if (!stoppedSince.has(peer)) stoppedSince.set(peer, timers.now());
      }),
    administer: (leader, call) =>
      send(
        leader,
        { kind: PeerEnvelopeKind.Administration, call },
        administrationTimeoutMilliseconds,
        isAdministrationReply,
      ),
    findSilence: replica => {
      const calls = openCalls.get(replica);
      if (calls === undefined) return undefined;
      const heardUntil = stoppedSince.get(replica) ?? calls.lastReceived();
      return timers.now() - heardUntil;
    },
    close: () => {
      closed = true;
      for (const calls of openCalls.values()) calls.connection.close();
    },
  };
}

function createUnknownPeerError(peer: ReplicaId): ConnectionError {
  return new ConnectionError(
    `No address of replica ${peer} is known, or this replica is stopping.`,
    { step: 'find replica', peer },
  );
}

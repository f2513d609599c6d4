/**
 * Handshake on a new socket: both ends exchange identities and prove that they hold the shared key.
 */
import {
  computeHandshakeProof,
  createNonce,
  HandshakeSide,
  type SharedKeys,
  verifyHandshakeProof,
} from '@cranberryturn/authentication';
import { AuthenticationError, ConnectionError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import { decodeMessage, encodeMessage } from '../codec.js';
import {
  composeHello,
  composeTranscript,
  type HelloFrame,
  isHelloFrame,
  isProofFrame,
  maximumHandshakeFrameBytes,
  protocolVersion,
} from '../handshake.js';
import type { PeerIdentity } from '../ports/connection.js';
import type { SocketReader } from './web-socket-connection.js';

/** Maximum time from opening a socket until the peer has proved the shared key. */
export const handshakeTimeoutMilliseconds: Milliseconds = 2_000;

/** Error of a failed handshake: the peer was not accepted. */
export type HandshakeError = ConnectionError | AuthenticationError;

/** Identity and keys with which a process takes part in handshakes. */
export interface HandshakeOptions {
  readonly self: PeerIdentity;
  readonly keys: SharedKeys;
  readonly timers: TimerService;
}

/**
 * Proves the shared key to the peer and verifies the proof of the peer. Terminates the socket on any
 * failure and on a timeout. `peerAddress` names the peer in errors until the identity is known.
 */
export async function authenticateSocket(
  options: HandshakeOptions,
  reader: SocketReader,
  side: HandshakeSide,
  peerAddress: string,
): Promise<Result<PeerIdentity, HandshakeError>> {
  const expiry = options.timers.after(handshakeTimeoutMilliseconds, () => {
    reader.socket.terminate();
  });
  const checked = await exchangeProofs(options, reader, side, peerAddress);
  expiry.cancel();
  if (checked.isErr()) reader.socket.terminate();
  return checked;
}

async function exchangeProofs(
  options: HandshakeOptions,
  reader: SocketReader,
  side: HandshakeSide,
  peerAddress: string,
): Promise<Result<PeerIdentity, HandshakeError>> {
  const own = composeHello(options.self, createNonce());
  reader.socket.send(encodeMessage(own));
  const hello = (await readHandshakeFrame(reader, peerAddress)).andThen(frame =>
    checkHello(frame, peerAddress),
  );
  if (hello.isErr()) return err(hello.error);
  const peer = hello.value;
  const transcript =
    side === HandshakeSide.Dialler
      ? composeTranscript(own, peer)
      : composeTranscript(peer, own);
  const proof = computeHandshakeProof(options.keys, transcript, side);
  reader.socket.send(encodeMessage({ proof }));
  const answer = await readHandshakeFrame(reader, peer.name);
  if (answer.isErr()) return err(answer.error);
  const peerProof = isProofFrame(answer.value) ? answer.value.proof : '';
  const { role, name, incarnation } = peer;
  return verifyHandshakeProof(
    options.keys,
    transcript,
    getOppositeSide(side),
    peerProof,
  ).map(() => ({ role, name, incarnation }));
}

async function readHandshakeFrame(
  reader: SocketReader,
  peer: string,
): Promise<Result<unknown, HandshakeError>> {
  const frame = await reader.frames.next();
  if (frame === undefined) {
    return err(
      new AuthenticationError(
        `${peer} closed the connection before proving the shared key; if this persists, compare the shared key files of both hosts.`,
        { step: 'handshake', peer },
      ),
    );
  }
  if (frame.byteLength > maximumHandshakeFrameBytes) {
    return err(createForeignProtocolError(peer));
  }
  return decodeMessage<unknown>(frame, peer).mapErr(() =>
    createForeignProtocolError(peer),
  );
}

function checkHello(
  frame: unknown,
  peerAddress: string,
): Result<HelloFrame, HandshakeError> {
  if (!isHelloFrame(frame)) return err(createForeignProtocolError(peerAddress));
  if (frame.protocol === protocolVersion) return ok(frame);
  return err(
    new ConnectionError(
      `${frame.name} speaks protocol ${String(frame.protocol)}, but this process speaks ${String(protocolVersion)}; install the same version on both.`,
      { step: 'handshake', peer: frame.name },
    ),
  );
}

function createForeignProtocolError(peer: string): ConnectionError {
  return new ConnectionError(
    `${peer} does not speak the protocol of cranberryturn; check that the address in the settings is correct.`,
    { step: 'handshake', peer },
  );
}

function getOppositeSide(side: HandshakeSide): HandshakeSide {
  return side === HandshakeSide.Dialler
    ? HandshakeSide.Listener
    : HandshakeSide.Dialler;
}

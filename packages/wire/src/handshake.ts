/** Frames of the handshake, in which two processes exchange identities and prove the shared key. */
import type {
  HandshakeParty,
  HandshakeTranscript,
} from '@cranberryturn/authentication';
import type { Incarnation } from '@cranberryturn/types';

import { type PeerIdentity, ProcessRole } from './ports/connection.js';

/** Version of the protocol between our processes; both ends must have the same. */
export const protocolVersion = 1;

/** Maximum size of a frame from a peer that has not yet proved the shared key. */
export const maximumHandshakeFrameBytes = 4_096;

/** First frame in both directions of every connection. */
export interface HelloFrame {
  readonly protocol: number;
  readonly role: ProcessRole;
  readonly name: string;
  readonly incarnation: Incarnation;
  /** Random challenge that the proof of the peer must cover. */
  readonly nonce: string;
}

/** Second frame in both directions: proof that the sender holds the shared key. */
export interface ProofFrame {
  readonly proof: string;
}

/** Composes the hello frame of a process. */
export function composeHello(self: PeerIdentity, nonce: string): HelloFrame {
  return {
    protocol: protocolVersion,
    role: self.role,
    name: self.name,
    incarnation: self.incarnation,
    nonce,
  };
}

/** Whether a decoded frame is a hello, of any protocol version. */
export function isHelloFrame(value: unknown): value is HelloFrame {
  if (typeof value !== 'object' || value === null) return false;
  const { protocol, role, name, incarnation, nonce } =
    value as Partial<HelloFrame>;
  return (
    typeof protocol === 'number' &&
    Object.values(ProcessRole).some(known => known === role) &&
    typeof name === 'string' &&
    typeof incarnation === 'string' &&
    typeof nonce === 'string'
  );
}

/** Whether a decoded frame is a proof. */
export function isProofFrame(value: unknown): value is ProofFrame {
  return (
    typeof value === 'object' &&
    value !== null &&
    typeof (value as Partial<ProofFrame>).proof === 'string'
  );
}

/** Composes the transcript of both hellos that the proofs cover. */
export function composeTranscript(
  dialler: HelloFrame,
  listener: HelloFrame,
): HandshakeTranscript {
  return { dialler: toParty(dialler), listener: toParty(listener) };
}

function toParty(hello: HelloFrame): HandshakeParty {
  const { role, name, incarnation, nonce } = hello;
  return { role, name, incarnation, nonce };
}

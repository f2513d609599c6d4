/**
 * Mutual authentication of two processes with a shared key: each proves the key with an HMAC-SHA256
 * over its side, and the role, name, incarnation and nonce of both ends.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

import { AuthenticationError } from '@cranberryturn/errors';
import { err, ok, type Result } from 'neverthrow';

import type { SharedKeys } from './shared-keys.js';

const nonceBytes = 32;
const minimumNonceCharacters = 43;
const proofDomain = 'cranberryturn handshake 1';

/** The two ends of a connection. */
export enum HandshakeSide {
  /** The process that opened the connection. */
  Dialler = 'dialler',
  /** The process that accepted the connection. */
  Listener = 'listener',
}

/** Identity and nonce that one end sends before its proof. */
export interface HandshakeParty {
  /** Role of the process, for example `sidecar`. */
  readonly role: string;
  /** Name of the process. */
  readonly name: string;
  /** Identifier of one run of the process. */
  readonly incarnation: string;
  /** Nonce that this end created with `createNonce`. */
  readonly nonce: string;
}

/** The data of both ends that each proof covers. */
export interface HandshakeTranscript {
  readonly dialler: HandshakeParty;
  readonly listener: HandshakeParty;
}

/** Creates a random nonce. A nonce must be used for one connection only. */
export function createNonce(): string {
  return randomBytes(nonceBytes).toString('base64url');
}

/** Computes the proof that the end on `side` holds the current key. */
export function computeHandshakeProof(
  keys: SharedKeys,
  transcript: HandshakeTranscript,
  side: HandshakeSide,
): string {
  return computeProof(keys.current, transcript, side).toString('base64url');
}

/** Verifies the proof of the end on `side`. The current and the previous key are accepted. */
export function verifyHandshakeProof(
  keys: SharedKeys,
  transcript: HandshakeTranscript,
  side: HandshakeSide,
  proof: string,
): Result<void, AuthenticationError> {
  const receivedProof = Buffer.from(proof, 'base64url');
  const party =
    side === HandshakeSide.Dialler ? transcript.dialler : transcript.listener;
  if (hasWeakNonce(transcript)) {
    return err(
      createRefusal(
        party,
        'sent no fresh nonce. Run the same version on both hosts.',
      ),
    );
  }
  const matchesCurrentKey = isEqualInConstantTime(
    computeProof(keys.current, transcript, side),
    receivedProof,
  );
  const matchesPreviousKey =
    keys.previous !== undefined &&
    isEqualInConstantTime(
      computeProof(keys.previous, transcript, side),
      receivedProof,
    );
  if (matchesCurrentKey || matchesPreviousKey) return ok(undefined);
  return err(
    createRefusal(
      party,
      'holds another shared key. Copy the same shared key file to both hosts and restart the process that has the old one.',
    ),
  );
}

function computeProof(
  key: Buffer,
  transcript: HandshakeTranscript,
  side: HandshakeSide,
): Buffer {
  const { dialler, listener } = transcript;
  const fields = [
    proofDomain,
    side,
    dialler.role,
    dialler.name,
    dialler.incarnation,
    dialler.nonce,
    listener.role,
    listener.name,
    listener.incarnation,
    listener.nonce,
  ];
  // JSON delimits the fields, so different transcripts never have the same encoding.
  return createHmac('sha256', key).update(JSON.stringify(fields)).digest();
}

function isEqualInConstantTime(expected: Buffer, given: Buffer): boolean {
  return expected.length === given.length && timingSafeEqual(expected, given);
}

function hasWeakNonce({ dialler, listener }: HandshakeTranscript): boolean {
  return (
    dialler.nonce.length < minimumNonceCharacters ||
    listener.nonce.length < minimumNonceCharacters ||
    dialler.nonce === listener.nonce
  );
}

function createRefusal(
  party: HandshakeParty,
  reason: string,
): AuthenticationError {
  return new AuthenticationError(`The ${party.role} ${party.name} ${reason}`, {
    step: 'authenticate peer',
    peer: party.name,
  });
}

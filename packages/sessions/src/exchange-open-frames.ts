/** Handshake at the start of each connection of a session. */
import { ConnectionError } from '@cranberryturn/errors';
import {
  type Connection,
  decodeMessage,
  encodeMessage,
} from '@cranberryturn/wire';
import { err, ok, type Result } from 'neverthrow';

import {
  isSessionFrame,
  type OpenFrame,
  type SessionFrame,
  SessionFrameKind,
} from './session-frames.js';

/** Sends the Open frame of this side. */
export function sendOpenFrame(
  connection: Connection,
  { session, received }: Pick<OpenFrame, 'session' | 'received'>,
): void {
  const frame: OpenFrame = { kind: SessionFrameKind.Open, session, received };
  connection.send(encodeMessage(frame));
}

/**
 * Reads the Open frame of the peer. Fails if the connection ends or another
 * frame comes first; the caller sets the time limit.
 */
export async function readOpenFrame(
  connection: Connection,
  frames: AsyncIterator<Uint8Array>,
): Promise<Result<OpenFrame, ConnectionError>> {
  const peer = connection.peer.name;
  const first = await frames.next();
  if (first.done === true) return err(describeMissingOpenFrame(peer));
  const frame = decodeMessage<SessionFrame<unknown>>(first.value, peer);
  if (
    frame.isErr() ||
    !isSessionFrame(frame.value) ||
    frame.value.kind !== SessionFrameKind.Open
  ) {
    return err(describeMissingOpenFrame(peer));
  }
  return ok(frame.value);
}

function describeMissingOpenFrame(peer: string): ConnectionError {
  return new ConnectionError(
    `${peer} did not send an Open frame first, so the connection was not used.`,
    {
      step: 'open session',
      peer,
    },
  );
}

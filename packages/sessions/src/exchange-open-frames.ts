/** The first frames of each connection of a session. */
import { ConnectionError } from '@cranberryturn/errors';
import {
  type Connection,
  decodeMessage,
  encodeMessage,
} from '@cranberryturn/wire';
import { err, ok, type Result } from 'neverthrow';

import {
  type OpenFrame,
  type SessionFrame,
  SessionFrameKind,
} from './session-frames.js';

/** Sends the Open frame of this end. */
export function sendOpenFrame(
  connection: Connection,
  { session, received }: Pick<OpenFrame, 'session' | 'received'>,
): void {
  const frame: OpenFrame = { kind: SessionFrameKind.Open, session, received };
  connection.send(encodeMessage(frame));
}

/** Reads the Open frame of the peer. */
export async function readOpenFrame(
  connection: Connection,
  frames: AsyncIterator<Uint8Array>,
): Promise<Result<OpenFrame, ConnectionError>> {
  const peer = connection.peer.name;
  const first = await frames.next();
  if (first.done === true) return err(describeMissingOpen(peer));
  const frame = decodeMessage<SessionFrame<unknown>>(first.value, peer);
  if (frame.isErr() || frame.value.kind !== SessionFrameKind.Open) {
    return err(describeMissingOpen(peer));
  }
  return ok(frame.value);
}

function describeMissingOpen(peer: string): ConnectionError {
  return new ConnectionError(`${peer} did not open the session.`, {
    step: 'open session',
    peer,
  });
}

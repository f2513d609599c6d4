/** Error for a decoded message that cannot be handled. */
import { CorruptionError } from '@cranberryturn/errors';

import type { ShapeCheck } from './shapes.js';

/** Composes the error for a message of `peer`; `cause` is what its handler threw. */
export function createMessageError(
  peer: string,
  cause?: unknown,
): CorruptionError {
  return new CorruptionError(
    `A message from ${peer} cannot be handled; check that both run the same version.`,
    { step: 'handle message', peer },
    cause,
  );
}

/** Returns a message with the expected shape. Throws a `CorruptionError` for any other. */
export function requireShape<Message>(
  message: unknown,
  isMessage: ShapeCheck,
  peer: string,
): Message {
  if (isMessage(message)) return message as Message;
  throw createMessageError(peer);
}

/** MessagePack codec for frames. */
import { CorruptionError } from '@cranberryturn/errors';
import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';

const packer = new Packr({ useRecords: false, variableMapSize: true });

/** Encodes a message. Property names go onto the wire as they are. */
export function encodeMessage(message: unknown): Uint8Array {
  return packer.pack(message);
}

/** Decodes a frame. Checks no types, so the peer must have proved the shared key. */
export function decodeMessage<Message>(
  frame: Uint8Array,
  peer: string,
): Result<Message, CorruptionError> {
  try {
    return ok(packer.unpack(frame) as Message);
  } catch (cause) {
    return err(
      new CorruptionError(
        `A frame from ${peer} cannot be decoded; check that both run the same version.`,
        { step: 'decode frame', peer },
        cause,
      ),
    );
  }
}

/** Receives the body of a request in one buffer, however small the chunks are that it arrives in. */
import type { IncomingMessage } from 'node:http';

import { BodyBuffer } from './body-buffer.js';
import type { BufferPool } from './buffer-pool.js';

/** How the reception of a body ended. */
export enum ReceptionEnd {
  Whole = 'whole',
  TooLarge = 'too-large',
  NoMemory = 'no-memory',
  /** The connection ended within the body. */
  Broken = 'broken',
}

/** A body, or why there is none. */
export type Reception =
  | {
      readonly end: ReceptionEnd.Whole;
      /** To be released by the receiver, once nothing uses it. */
      readonly body: BodyBuffer;
    }
  | { readonly end: Exclude<ReceptionEnd, ReceptionEnd.Whole> };

/** Limits of one body. */
export interface ReceptionOptions {
  readonly limitBytes: number;
  /** What the chunks of the body count at most, beside its size. */
  readonly maximumChunkBytes: number;
  readonly pool: BufferPool;
  /** Reserves memory for so many bytes; false when there is none. */
  readonly reserve: (bytes: number) => boolean;
}

/** Size that the caller announced; undefined for a chunked body. */
export function readAnnouncedBytes({
  headers,
}: IncomingMessage): number | undefined {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
}

/**
 * Calls `done` once, with the whole body or the reason for its absence. What arrives after that is discarded. Returns a
 * function that ends the reception without a call.
 */
export function receiveBody(
  incoming: IncomingMessage,
  { limitBytes, maximumChunkBytes, pool, reserve }: ReceptionOptions,
  done: (reception: Reception) => void,
): () => void {
  const buffer = new BodyBuffer(pool);
  let isDone = false;

  const handleData = (chunk: Buffer): void => {
    if (buffer.length + chunk.length > limitBytes) {
      finish({ end: ReceptionEnd.TooLarge });
      return;
    }
    if (!reserve(buffer.measureWith(chunk.length, maximumChunkBytes))) {
      finish({ end: ReceptionEnd.NoMemory });
      return;
    }
    buffer.append(chunk);
  };
  const handleEnd = (): void => {
    isDone = true;
    removeListeners();
    done({ end: ReceptionEnd.Whole, body: buffer });
  };
  const handleClose = (): void => {
    finish({ end: ReceptionEnd.Broken });
  };
  const removeListeners = (): void => {
    incoming
      .off('data', handleData)
      .off('end', handleEnd)
      .off('close', handleClose);
  };
  const stop = (): void => {
    if (isDone) return;
    isDone = true;
    removeListeners();
    incoming.resume();
    buffer.release();
  };
  const finish = (reception: Reception): void => {
    stop();
    done(reception);
  };
  incoming
    .on('data', handleData)
    .on('end', handleEnd)
    .on('close', handleClose)
    // The connection reports the reason.
    .on('error', () => undefined);
  return stop;
}

/**
 * Frames: length-prefixed, checksummed pieces of a file.
 *
 * Layout, little endian: magic, checksum, payload length, synced length (4 bytes each), payload.
 * The checksum covers everything after itself. The synced length is the length of the file that was
 * known to be synced when the frame was written: damage below it is corruption, not a torn write.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

const frameMagic = 0x43_42_4c_31;
const magicOffset = 0;
const checksumOffset = 4;
const lengthOffset = 8;
const syncedLengthOffset = 12;

/** Size of the header of a frame in bytes. */
export const frameHeaderBytes = 16;

/** A frame found in a file. */
export interface Frame {
  readonly payload: Uint8Array;
  /** Offset of the first byte after the frame. */
  readonly end: number;
  readonly syncedLength: number;
}

/** Fills in the header of a frame whose payload already stands behind the header. */
export function writeFrameHeader(
  frame: Uint8Array,
  syncedLength: number,
): void {
  const view = new DataView(frame.buffer, frame.byteOffset, frame.byteLength);
  view.setUint32(magicOffset, frameMagic, true);
  view.setUint32(lengthOffset, frame.length - frameHeaderBytes, true);
  view.setUint32(syncedLengthOffset, syncedLength, true);
  view.setUint32(checksumOffset, checksum(frame, 0, frame.length), true);
}

/** Wraps a payload into a frame. */
export function encodeFrame(
  payload: Uint8Array,
  syncedLength: number,
): Uint8Array {
  const frame = new Uint8Array(frameHeaderBytes + payload.length);
  frame.set(payload, frameHeaderBytes);
  writeFrameHeader(frame, syncedLength);
  return frame;
}

/** Reads the frame at `offset`; undefined when no whole frame with a right checksum stands there. */
export function decodeFrame(
  bytes: Uint8Array,
  offset: number,
): Frame | undefined {
  if (offset + frameHeaderBytes > bytes.length) return undefined;
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  if (view.getUint32(offset + magicOffset, true) !== frameMagic) {
    return undefined;
  }
  const length = view.getUint32(offset + lengthOffset, true);
  const end = offset + frameHeaderBytes + length;
  if (end > bytes.length) return undefined;
  const stored = view.getUint32(offset + checksumOffset, true);
  if (stored !== checksum(bytes, offset, end)) return undefined;
  return {
    payload: bytes.subarray(offset + frameHeaderBytes, end),
    end,
    syncedLength: view.getUint32(offset + syncedLengthOffset, true),
  };
}

/** Largest synced length that any whole frame after `offset` vouches for. */
export function findSyncedLength(bytes: Uint8Array, offset: number): number {
  let synced = 0;
  for (let at = offset; at + frameHeaderBytes <= bytes.length; at += 1) {
    const frame = decodeFrame(bytes, at);
    if (frame !== undefined) synced = Math.max(synced, frame.syncedLength);
  }
  return synced;
}

function checksum(bytes: Uint8Array, start: number, end: number): number {
  return hasher.h32Raw(bytes.subarray(start + lengthOffset, end));
}

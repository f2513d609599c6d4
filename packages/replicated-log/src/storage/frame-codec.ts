/**
 * Frames: length-prefixed, checksummed parts of a file.
 *
 * Layout, little endian: magic, checksum, payload length, synced length (4 bytes each), payload.
 * The checksum covers everything after itself. The synced length is how much of the file, in bytes,
 * was known to be synced when the frame was written: damage below it is corruption, not a torn write.
 */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

const frameMagic = 0x43_42_4c_31;
const magicOffset = 0;
const checksumOffset = 4;
const lengthOffset = 8;
const syncedLengthOffset = 12;

/** Size of a frame header. */
export const frameHeaderBytes = 16;

/** A frame decoded from a file. */
export interface Frame {
  readonly payload: Uint8Array;
  /** Offset of the first byte after the frame. */
  readonly end: number;
  readonly syncedLength: number;
}

/** Writes the header of a frame. `frame` already contains the payload after the space for the header. */
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

/** Encodes a payload as a frame. */
export function encodeFrame(
  payload: Uint8Array,
  syncedLength: number,
): Uint8Array {
  const frame = new Uint8Array(frameHeaderBytes + payload.length);
  frame.set(payload, frameHeaderBytes);
  writeFrameHeader(frame, syncedLength);
  return frame;
}

/** Decodes the frame at `offset`; undefined when there is no complete frame with a valid checksum. */
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

/** Returns the largest synced length recorded in any valid frame at or after `offset`. */
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

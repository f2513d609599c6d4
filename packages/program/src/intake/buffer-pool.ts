/** Buffers that are used again: large ones that live for a while are freed late by the garbage collector. */

const smallestBytes = 16_384;

/** Free buffers of one process; their sizes are powers of two. */
export class BufferPool {
  readonly #free = new Map<number, Buffer[]>();
  readonly #maximumFreeBytes: number;
  #freeBytes = 0;

  /** Keeps free buffers up to this total size. */
  constructor(maximumFreeBytes: number) {
    this.#maximumFreeBytes = maximumFreeBytes;
  }

  /** Size of the buffer that `take` returns. */
  measure(bytes: number): number {
    return Math.max(smallestBytes, 2 ** Math.ceil(Math.log2(bytes)));
  }

  /** Returns a buffer for at least this many bytes, with any content. */
  take(bytes: number): Buffer {
    const size = this.measure(bytes);
    const buffer = this.#free.get(size)?.pop();
    if (buffer === undefined) return Buffer.allocUnsafeSlow(size);
    this.#freeBytes -= size;
    return buffer;
  }

  /** Takes back a buffer that nothing refers to any more. */
  giveBack(buffer: Buffer): void {
    const size = buffer.length;
    if (this.#freeBytes + size > this.#maximumFreeBytes) return;
    this.#freeBytes += size;
    const sameSize = this.#free.get(size);
    if (sameSize === undefined) this.#free.set(size, [buffer]);
    else sameSize.push(buffer);
  }
}

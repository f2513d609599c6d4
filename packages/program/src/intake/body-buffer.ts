/** Collects the chunks of a body, each at once in one buffer, however small the chunks are. */
import type { BufferPool } from './buffer-pool.js';

/** Memory and processor time of a chunk, in bytes; so a body in tiny chunks counts as a larger one. */
const chunkBytes = 64;

export class BodyBuffer {
  readonly #pool: BufferPool;
  /** The only chunk so far; a body in one chunk is not copied. */
  #single: Buffer | undefined;
  #pooled: Buffer | undefined;
  #length = 0;
  #chunks = 0;

  constructor(pool: BufferPool) {
    this.#pool = pool;
  }

  get length(): number {
    return this.#length;
  }

  /** What the body counts with `added` more bytes; its chunks count at most `maximumChunkBytes`. */
  measureWith(added: number, maximumChunkBytes: number): number {
    const total = this.#length + added;
    const bytes = this.#length === 0 ? total : this.#pool.measure(total);
    return bytes + Math.min(maximumChunkBytes, this.#chunks * chunkBytes);
  }

  append(chunk: Buffer): void {
    this.#chunks += 1;
    if (this.#length === 0) {
      this.#single = chunk;
    } else {
      const buffer = this.#ensureCapacity(this.#length + chunk.length);
      chunk.copy(buffer, this.#length);
    }
    this.#length += chunk.length;
  }

  /** Returns the bytes received; they are overwritten after `release`. */
  read(): Buffer {
    const bytes = this.#single ?? this.#pooled ?? Buffer.alloc(0);
    return bytes.subarray(0, this.#length);
  }

  /** Gives the memory back; nothing may use the bytes any more. */
  release(): void {
    if (this.#pooled !== undefined) this.#pool.giveBack(this.#pooled);
    this.#pooled = undefined;
    this.#single = undefined;
    this.#length = 0;
  }

  #ensureCapacity(bytes: number): Buffer {
    const current = this.#pooled;
    if (current !== undefined && current.length >= bytes) return current;
    const larger = this.#pool.take(bytes);
    (this.#single ?? current)?.copy(larger, 0, 0, this.#length);
    if (current !== undefined) this.#pool.giveBack(current);
    this.#single = undefined;
    this.#pooled = larger;
    return larger;
  }
}

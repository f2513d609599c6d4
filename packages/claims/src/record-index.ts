/** Finds records by a digest of 128 bits: open addressing in shards that grow one at a time. */
import { noRecord, type RecordPages } from './record-pages.js';

const shardCount = 1_024;
const smallestShard = 16;
const largestLoad = 0.75;
const wordsOfDigest = 4;

/** 128 bits as four words. */
export type Digest = Uint32Array;

interface Shard {
  /** Record numbers plus one; 0 is empty. */
  slots: Uint32Array;
  size: number;
}

/** Index over records whose first words are their digest. A large table never stops to move all of its entries at once. */
export class RecordIndex {
  readonly #pages: RecordPages;
  readonly #shards = new Array<Shard | undefined>(shardCount).fill(undefined);

  constructor(pages: RecordPages) {
    this.#pages = pages;
  }

  /** Returns the record, or `noRecord`. */
  find(digest: Digest): number {
    const { slots } = this.#shardOf(digest[0] ?? 0);
    let slot = (digest[1] ?? 0) % slots.length;
    for (;;) {
      const entry = slots[slot] ?? 0;
      if (entry === 0) return noRecord;
      if (this.#matches(entry - 1, digest)) return entry - 1;
      slot = (slot + 1) % slots.length;
    }
  }

  /** Adds a record whose digest no other record has. */
  add(record: number): void {
    const shard = this.#shardOf(this.#pages.word(record, 0));
    if (shard.size + 1 > shard.slots.length * largestLoad) this.#grow(shard);
    this.#place(shard, record);
    shard.size += 1;
  }

  remove(record: number): void {
    const shard = this.#shardOf(this.#pages.word(record, 0));
    const { slots } = shard;
    let gap = this.#homeOf(shard, record);
    while (slots[gap] !== record + 1) gap = (gap + 1) % slots.length;
    slots[gap] = 0;
    shard.size -= 1;
    this.#closeGap(shard, gap);
  }

  /** Moves later entries of the run back, so that a search never meets a gap before its entry. */
  #closeGap(shard: Shard, emptied: number): void {
    const { slots } = shard;
    let gap = emptied;
    let slot = gap;
    for (;;) {
      slot = (slot + 1) % slots.length;
      const entry = slots[slot] ?? 0;
      if (entry === 0) return;
      const home = this.#homeOf(shard, entry - 1);
      const distance = (slot - home + slots.length) % slots.length;
      const toGap = (slot - gap + slots.length) % slots.length;
      if (distance < toGap) continue;
      slots[gap] = entry;
      slots[slot] = 0;
      gap = slot;
    }
  }

  #grow(shard: Shard): void {
    const earlier = shard.slots;
    shard.slots = new Uint32Array(earlier.length * 2);
    for (const entry of earlier) {
      if (entry !== 0) this.#place(shard, entry - 1);
    }
  }

  #place(shard: Shard, record: number): void {
    const { slots } = shard;
    let slot = this.#homeOf(shard, record);
    while (slots[slot] !== 0) slot = (slot + 1) % slots.length;
    slots[slot] = record + 1;
  }

  #homeOf({ slots }: Shard, record: number): number {
    return this.#pages.word(record, 1) % slots.length;
  }

  #shardOf(firstWord: number): Shard {
    const number = firstWord % shardCount;
    const known = this.#shards[number];
    if (known !== undefined) return known;
    const shard = { slots: new Uint32Array(smallestShard), size: 0 };
    this.#shards[number] = shard;
    return shard;
  }

  #matches(record: number, digest: Digest): boolean {
    for (let word = 0; word < wordsOfDigest; word += 1) {
      if (this.#pages.word(record, word) !== digest[word]) return false;
    }
    return true;
  }
}

/** Hash index of records by 128-bit digest: open addressing in shards that grow independently. */
import { noRecord, type RecordPages } from './record-pages.js';

const shardCount = 1_024;
const initialShardSlots = 16;
const maximumLoadFactor = 0.75;
const digestWords = 4;

/** Digest of 128 bits in four words. */
export type Digest = Uint32Array;

interface Shard {
  /** Record numbers plus one; 0 marks an empty slot. */
  slots: Uint32Array;
  size: number;
}

/** Index of records that begin with their digest. Shards avoid a long pause to rehash all entries of a large table. */
export class RecordIndex {
  readonly #pages: RecordPages;
  readonly #shards = new Array<Shard | undefined>(shardCount).fill(undefined);

  constructor(pages: RecordPages) {
    this.#pages = pages;
  }

  /** Returns the record with this digest, or `noRecord`. */
  find(digest: Digest): number {
    const { slots } = this.#shardOf(digest[0] ?? 0);
    let slot = (digest[1] ?? 0) % slots.length;
    for (;;) {
      const entry = slots[slot] ?? 0;
      if (entry === 0) return noRecord;
      if (this.#hasDigest(entry - 1, digest)) return entry - 1;
      slot = (slot + 1) % slots.length;
    }
  }

  /** Adds a record. Its digest must not be in the index. */
  add(record: number): void {
    const shard = this.#shardOf(this.#pages.word(record, 0));
    if (shard.size + 1 > shard.slots.length * maximumLoadFactor)
      this.#grow(shard);
    this.#insert(shard, record);
    shard.size += 1;
  }

  /** Removes a record, which must be in the index. */
  remove(record: number): void {
    const shard = this.#shardOf(this.#pages.word(record, 0));
    const { slots } = shard;
    let slot = this.#homeSlotOf(shard, record);
    while (slots[slot] !== record + 1) slot = (slot + 1) % slots.length;
    slots[slot] = 0;
    shard.size -= 1;
    this.#shiftEntriesBack(shard, slot);
  }

  /** Backward-shift deletion: moves later entries back, so that no search ends at the empty slot before its entry. */
  #shiftEntriesBack(shard: Shard, firstEmptySlot: number): void {
    const { slots } = shard;
    let emptySlot = firstEmptySlot;
    let slot = emptySlot;
    for (;;) {
      slot = (slot + 1) % slots.length;
      const entry = slots[slot] ?? 0;
      if (entry === 0) return;
      const home = this.#homeSlotOf(shard, entry - 1);
      const distance = (slot - home + slots.length) % slots.length;
      const distanceFromEmptySlot =
        (slot - emptySlot + slots.length) % slots.length;
      if (distance < distanceFromEmptySlot) continue;
      slots[emptySlot] = entry;
      slots[slot] = 0;
      emptySlot = slot;
    }
  }

  #grow(shard: Shard): void {
    const earlier = shard.slots;
    shard.slots = new Uint32Array(earlier.length * 2);
    for (const entry of earlier) {
      if (entry !== 0) this.#insert(shard, entry - 1);
    }
  }

  #insert(shard: Shard, record: number): void {
    const { slots } = shard;
    let slot = this.#homeSlotOf(shard, record);
    while (slots[slot] !== 0) slot = (slot + 1) % slots.length;
    slots[slot] = record + 1;
  }

  #homeSlotOf({ slots }: Shard, record: number): number {
    return this.#pages.word(record, 1) % slots.length;
  }

  #shardOf(firstWord: number): Shard {
    const number = firstWord % shardCount;
    const known = this.#shards[number];
    if (known !== undefined) return known;
    const shard = { slots: new Uint32Array(initialShardSlots), size: 0 };
    this.#shards[number] = shard;
    return shard;
  }

  #hasDigest(record: number, digest: Digest): boolean {
    for (let word = 0; word < digestWords; word += 1) {
      if (this.#pages.word(record, word) !== digest[word]) return false;
    }
    return true;
  }
}

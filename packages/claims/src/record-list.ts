/** Doubly linked list of records in insertion order. The links are stored in two words of each record. */
import { noRecord, type RecordPages } from './record-pages.js';

/** Snapshot of a list. The links are part of the records. */
export interface RecordListSnapshot {
  readonly first: number;
  readonly last: number;
  readonly size: number;
}

/** Positions of the words that hold the links. */
export interface LinkFields {
  readonly previous: number;
  readonly next: number;
}

/** Linked list of records. A record may be in at most one list with the same link fields. */
export class RecordList {
  readonly #pages: RecordPages;
  readonly #links: LinkFields;
  #first: number;
  #last: number;
  #size: number;

  constructor(
    pages: RecordPages,
    links: LinkFields,
    snapshot: RecordListSnapshot = { first: noRecord, last: noRecord, size: 0 },
  ) {
    this.#pages = pages;
    this.#links = links;
    this.#first = snapshot.first;
    this.#last = snapshot.last;
    this.#size = snapshot.size;
  }

  get size(): number {
    return this.#size;
  }

  /** Oldest record, or `noRecord`. */
  get first(): number {
    return this.#first;
  }

  append(record: number): void {
    this.#pages.setWord(record, this.#links.previous, this.#last);
    this.#pages.setWord(record, this.#links.next, noRecord);
    this.#link(this.#last, record);
    this.#last = record;
    this.#size += 1;
  }

  /** Removes a record, which must be in this list. */
  remove(record: number): void {
    const previous = this.#pages.word(record, this.#links.previous);
    const next = this.#pages.word(record, this.#links.next);
    this.#link(previous, next);
    if (next === noRecord) this.#last = previous;
    else this.#pages.setWord(next, this.#links.previous, previous);
    this.#size -= 1;
  }

  /** Iterates over the records, oldest first. */
  *records(): Generator<number> {
    for (let record = this.#first; record !== noRecord;) {
      yield record;
      record = this.#pages.word(record, this.#links.next);
    }
  }

  capture(): RecordListSnapshot {
    return { first: this.#first, last: this.#last, size: this.#size };
  }

  #link(previous: number, next: number): void {
    if (previous === noRecord) this.#first = next;
    else this.#pages.setWord(previous, this.#links.next, next);
  }
}

/** Fixed-width records in pages outside the JavaScript heap, numbered from 0. */

const bytesPerWord = 4;
const bytesPerNumber = 8;
const recordsPerPage = 4_096;
/** Record number that means no record. */
export const noRecord = 0xffff_ffff;

/** Layout of a record: 64-bit numbers followed by 32-bit words. */
export interface RecordLayout {
  readonly numbers: number;
  /** Must be even, for alignment. The last word links free records. */
  readonly words: number;
}

/** Snapshot of the pages without the records. */
export interface RecordPagesSnapshot {
  /** Number of records allocated at least once. */
  readonly used: number;
  readonly firstFree: number;
}

interface Page {
  readonly bytes: Uint8Array;
  readonly words: Uint32Array;
  readonly numbers: Float64Array;
}

/** Allocator of records. Pages are added on demand and never freed. */
export class RecordPages {
  readonly #layout: RecordLayout;
  readonly #recordBytes: number;
  readonly #pages: Page[] = [];
  #used = 0;
  #firstFree = noRecord;

  constructor(layout: RecordLayout) {
    this.#layout = layout;
    this.#recordBytes =
      layout.numbers * bytesPerNumber + layout.words * bytesPerWord;
  }

  /** Number of bytes that `copyTo` writes. */
  get byteLength(): number {
    return this.#used * this.#recordBytes;
  }

  /** Allocates a record. Its fields are not cleared. */
  allocate(): number {
    const record = this.#firstFree;
    if (record !== noRecord) {
      this.#firstFree = this.word(record, this.#layout.words - 1);
      return record;
    }
    if (this.#used === this.#pages.length * recordsPerPage) this.#addPage();
    this.#used += 1;
    return this.#used - 1;
  }

  /** Makes a record available to `allocate` again. */
  release(record: number): void {
    this.setWord(record, this.#layout.words - 1, this.#firstFree);
    this.#firstFree = record;
  }

  word(record: number, field: number): number {
    return this.#pageOf(record).words[this.#wordAt(record, field)] ?? 0;
  }

  setWord(record: number, field: number, value: number): void {
    this.#pageOf(record).words[this.#wordAt(record, field)] = value;
  }

  number(record: number, field: number): number {
    return this.#pageOf(record).numbers[this.#numberAt(record, field)] ?? 0;
  }

  setNumber(record: number, field: number, value: number): void {
    this.#pageOf(record).numbers[this.#numberAt(record, field)] = value;
  }

  describe(): RecordPagesSnapshot {
    return { used: this.#used, firstFree: this.#firstFree };
  }

  /** Copies the used records to `target`, which must have at least `byteLength` bytes. */
  copyTo(target: Uint8Array): void {
    let position = 0;
    for (const { bytes } of this.#pages) {
      const length = Math.min(bytes.length, this.byteLength - position);
      target.set(bytes.subarray(0, length), position);
      position += length;
    }
  }

  /** Restores the records written by `copyTo`. Must be called before any record is allocated. */
  load(snapshot: RecordPagesSnapshot, source: Uint8Array): void {
    let position = 0;
    while (position < source.length) {
      const { bytes } = this.#addPage();
      bytes.set(source.subarray(position, position + bytes.length));
      position += bytes.length;
    }
    this.#used = snapshot.used;
    this.#firstFree = snapshot.firstFree;
  }

  #addPage(): Page {
    const buffer = new ArrayBuffer(recordsPerPage * this.#recordBytes);
    const page = {
      bytes: new Uint8Array(buffer),
      words: new Uint32Array(buffer),
      numbers: new Float64Array(buffer),
    };
    this.#pages.push(page);
    return page;
  }

  #pageOf(record: number): Page {
    const page = this.#pages[Math.floor(record / recordsPerPage)];
    if (page === undefined)
      throw new RangeError('The record number is beyond the allocated pages.');
    return page;
  }

  #numberAt(record: number, field: number): number {
    const position = record % recordsPerPage;
    return (position * this.#recordBytes) / bytesPerNumber + field;
  }

  #wordAt(record: number, field: number): number {
    const position = record % recordsPerPage;
    const first = this.#layout.numbers * (bytesPerNumber / bytesPerWord);
    return (position * this.#recordBytes) / bytesPerWord + first + field;
  }
}

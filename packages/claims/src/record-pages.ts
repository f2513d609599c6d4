/** Fixed-width records in pages outside the heap of the language, numbered from 0. */

const bytesPerWord = 4;
const bytesPerNumber = 8;
const recordsPerPage = 4_096;
/** Stands for no record. */
export const noRecord = 0xffff_ffff;

/** Widths of one record: numbers of 64 bits come first, words of 32 bits follow. */
export interface RecordLayout {
  readonly numbers: number;
  /** An even count. The last word links records that are free. */
  readonly words: number;
}

/** The records as plain data. */
export interface RecordPagesSnapshot {
  /** Records up to here have been used. */
  readonly used: number;
  readonly firstFree: number;
}

interface Page {
  readonly bytes: Uint8Array;
  readonly words: Uint32Array;
  readonly numbers: Float64Array;
}

/** Records that are allocated and released one by one. Pages are added as they are needed. */
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

  /** Bytes of the records used so far. */
  get byteLength(): number {
    return this.#used * this.#recordBytes;
  }

  /** Takes a free record; its fields hold what was there before. */
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

  /** Copies the used records to `target`, which has room for `byteLength` bytes. */
  copyTo(target: Uint8Array): void {
    let position = 0;
    for (const { bytes } of this.#pages) {
      const length = Math.min(bytes.length, this.byteLength - position);
      target.set(bytes.subarray(0, length), position);
      position += length;
    }
  }

  /** Takes the records that `copyTo` wrote; these pages must be empty. */
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
    if (page === undefined) throw new RangeError('There is no such record.');
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

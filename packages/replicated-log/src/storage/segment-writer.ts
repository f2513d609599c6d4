/** Writes records with group commit: one synced write for all queued records. */
import type { StorageError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { LogIndex, Milliseconds } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';
import {
  encodeFrame,
  frameHeaderBytes,
  writeFrameHeader,
} from './frame-codec.js';
import { encodeRecords, firstIndexOf, type LogRecord } from './record-codec.js';
import {
  segmentFile,
  type Segment,
  type StoredRecords,
} from './segment-reader.js';

const emptyPayload = new Uint8Array(0);

/** Callbacks to the owner of the writer. */
export interface SegmentWriterEvents {
  /** A batch of records is synced. */
  onSynced(): void;
  /** A write failed. The writer neither retries nor accepts more records. */
  onFailure(error: StorageError): void;
}

interface Batch {
  readonly records: LogRecord[];
  firstIndex: LogIndex;
  readonly done: Promise<Result<void, StorageError>>;
  readonly finish: (result: Result<void, StorageError>) => void;
}

/** The only writer of the segments of one log. */
export class SegmentWriter {
  readonly #disk: LogDisk;
  readonly #timers: TimerService;
  readonly #events: SegmentWriterEvents;
  readonly #maximumSegmentBytes: number;
  readonly #segments: Segment[];
  #length: number;
  #syncedLength: number;
  #waiting: Batch | undefined;
  #writing: Batch | undefined;
  #writingSince: Milliseconds = 0;
  #isRunning = false;
  #loop: Promise<void> = Promise.resolve();
  #isRollRequested = false;
  #failure: StorageError | undefined;

  constructor(
    disk: LogDisk,
    timers: TimerService,
    events: SegmentWriterEvents,
    maximumSegmentBytes: number,
    stored: StoredRecords,
  ) {
    this.#disk = disk;
    this.#timers = timers;
    this.#events = events;
    this.#maximumSegmentBytes = maximumSegmentBytes;
    this.#segments = [...stored.segments];
    this.#length = stored.lastLength;
    this.#syncedLength = stored.lastLength;
    if (this.#segments.length === 0) this.#startSegment(1);
  }

  /** Queues records. Resolves when the batch that contains them is synced. */
  write(records: readonly LogRecord[]): Promise<Result<void, StorageError>> {
    if (this.#failure !== undefined) {
      return Promise.resolve(err(this.#failure));
    }
    this.#waiting ??= createBatch();
    const batch = this.#waiting;
    for (const record of records) {
      batch.records.push(record);
      batch.firstIndex = Math.min(batch.firstIndex, firstIndexOf(record));
    }
    if (!this.#isRunning) this.#loop = this.#run();
    return batch.done;
  }

  /** Resolves when all records queued so far are synced. */
  whenSynced(): Promise<Result<void, StorageError>> {
    if (this.#failure !== undefined) {
      return Promise.resolve(err(this.#failure));
    }
    const last = this.#waiting ?? this.#writing;
    return last?.done ?? Promise.resolve(ok());
  }

  /** Resolves when no write is running or queued. */
  async whenIdle(): Promise<void> {
    await this.#loop;
  }

  /** Lowest index that is queued but not yet synced; undefined when everything is synced. */
  firstUnsyncedIndex(): LogIndex | undefined {
    const waiting = this.#waiting?.firstIndex ?? Number.POSITIVE_INFINITY;
    const writing = this.#writing?.firstIndex ?? Number.POSITIVE_INFINITY;
    const first = Math.min(waiting, writing);
    return Number.isFinite(first) ? first : undefined;
  }

  /** Duration of the current write; 0 when no write is running. */
  currentWriteMilliseconds(): Milliseconds {
    if (this.#writing === undefined) return 0;
    return this.#timers.now() - this.#writingSince;
  }

  /** Starts a new segment with the next write, so that older segments can be removed after compaction. */
  roll(): void {
    this.#isRollRequested = true;
  }

  /** Removes segments that contain only entries up to `snapshotIndex`, the end of the newest snapshot. */
  async removeBefore(
    snapshotIndex: LogIndex,
  ): Promise<Result<void, StorageError>> {
    for (;;) {
      const [oldest, next] = this.#segments;
      if (oldest === undefined || next?.firstIndex === undefined) return ok();
      if (next.firstIndex > snapshotIndex + 1) return ok();
      this.#segments.shift();
      const removed = await this.#disk.remove(segmentFile(oldest.number));
      if (removed.isErr()) return removed;
    }
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    await Promise.resolve();
    while (this.#waiting !== undefined) {
      const batch = this.#waiting;
      this.#waiting = undefined;
      const written = await this.#writeAndReport(batch);
      if (written.isErr()) return;
      const marked = await this.#markSyncedIfIdle();
      if (marked.isErr()) return;
    }
    this.#isRunning = false;
  }

  async #writeAndReport(batch: Batch): Promise<Result<void, StorageError>> {
    this.#writing = batch;
    this.#writingSince = this.#timers.now();
    const result = await this.#writeBatch(batch);
    this.#writing = undefined;
    if (result.isErr()) {
      this.#fail(result.error);
      batch.finish(result);
      return result;
    }
    batch.finish(result);
    this.#events.onSynced();
    return result;
  }

  async #writeBatch(batch: Batch): Promise<Result<void, StorageError>> {
    const rolled = await this.#rollIfNeeded();
    if (rolled.isErr()) return rolled;
    const segment = this.#lastSegment();
    const file = segmentFile(segment.number);
    const frame = encodeRecords(batch.records, frameHeaderBytes);
    writeFrameHeader(frame, this.#syncedLength);
    segment.firstIndex ??= batch.records.map(firstIndexOf)[0];
    const appended = await this.#disk.append(file, frame);
    if (appended.isErr()) return appended;
    const synced = await this.#disk.sync(file);
    if (synced.isErr()) return synced;
    this.#length += frame.length;
    this.#syncedLength = this.#length;
    return ok();
  }

  /**
   * Appends an empty frame with the synced length, so that later damage to the last batch is not
   * taken for a torn write.
   */
  async #markSyncedIfIdle(): Promise<Result<void, StorageError>> {
    if (this.#waiting !== undefined) return ok();
    const file = segmentFile(this.#lastSegment().number);
    const frame = encodeFrame(emptyPayload, this.#syncedLength);
    const appended = await this.#disk.append(file, frame);
    if (appended.isErr()) {
      this.#fail(appended.error);
      return appended;
    }
    this.#length += frame.length;
    return ok();
  }

  async #rollIfNeeded(): Promise<Result<void, StorageError>> {
    const last = this.#lastSegment();
    if (last.firstIndex === undefined) return ok();
    if (!this.#isRollRequested && this.#length < this.#maximumSegmentBytes) {
      return ok();
    }
    const synced = await this.#disk.sync(segmentFile(last.number));
    if (synced.isErr()) return synced;
    this.#startSegment(last.number + 1);
    return ok();
  }

  #startSegment(number: number): void {
    this.#segments.push({ number, firstIndex: undefined });
    this.#length = 0;
    this.#syncedLength = 0;
    this.#isRollRequested = false;
  }

  #lastSegment(): Segment {
    const last = this.#segments.at(-1);
    if (last === undefined)
      throw new Error('The segment writer has no segment.');
    return last;
  }

  #fail(error: StorageError): void {
    this.#failure = error;
    this.#events.onFailure(error);
    this.#waiting?.finish(err(error));
    this.#waiting = undefined;
  }
}

function createBatch(): Batch {
  let finish: (result: Result<void, StorageError>) => void = () => undefined;
  const done = new Promise<Result<void, StorageError>>(resolve => {
    finish = resolve;
  });
  return { records: [], firstIndex: Number.POSITIVE_INFINITY, done, finish };
}

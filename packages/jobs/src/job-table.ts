/** Holds the jobs of one dispatcher: those in flight, and results kept for resubmissions. */
import { HeldMemory, type Reservation } from '@cranberryturn/held-memory';
import type { TimerService } from '@cranberryturn/timers';
import {
  type BodyDigest,
  type JobId,
  type JobResult,
  type Milliseconds,
} from '@cranberryturn/types';

import { measureResultSize } from './measure-sizes.js';

/** Limits on the results that are kept, and on all that is held. */
export interface ResultRetention {
  /** Time for which a result is kept. */
  readonly answersMilliseconds: Milliseconds;
  /** Maximum size of all kept results; older ones are dropped first. */
  readonly answersBytes: number;
  /** Maximum size of bodies in flight and answers together; no limit when undefined. */
  readonly heldBytes?: number | undefined;
}

/** A job in the table. */
export interface JobEntry {
  readonly jobId: JobId;
  readonly digest: BodyDigest;
  /** Resolves with the final result. Never rejects. */
  readonly finished: Promise<JobResult>;
  /** Undefined while the job is in flight. */
  result: JobResult | undefined;
}

interface StoredEntry extends JobEntry {
  readonly resolve: (result: JobResult) => void;
  finishedAt: Milliseconds;
  /** Size of the body and the answers so far, or of the result once finished. */
  bytes: number;
}

/** Jobs by identifier. Old results are dropped by age and total size. */
export class JobTable {
  readonly #timers: TimerService;
  readonly #retention: ResultRetention;
  readonly #entries = new Map<JobId, StoredEntry>();
  /** Finished entries, oldest first. */
  readonly #finished = new Set<StoredEntry>();
  readonly #memory: HeldMemory;
  readonly #held: Reservation;
  #resultBytes = 0;

  /** `memory` is shared with the listeners of the process. */
  constructor(
    timers: TimerService,
    retention: ResultRetention,
    memory = new HeldMemory(retention.heldBytes ?? Infinity),
  ) {
    this.#timers = timers;
    this.#retention = retention;
    this.#memory = memory;
    this.#held = memory.reservePinned();
  }

  /** Size of the bodies of jobs in flight and of all answers, in UTF-16 code units. */
  get heldBytes(): number {
    return this.#held.bytes;
  }

  /** Whether a body of this size stays within the limit of held bytes. */
  hasRoomFor(bodyBytes: number): boolean {
    this.#evictOldResults();
    return this.#memory.hasRoomFor(bodyBytes);
  }

  find(jobId: JobId): JobEntry | undefined {
    this.#evictOldResults();
    return this.#entries.get(jobId);
  }

  /** Number of jobs without a result. */
  get inFlight(): number {
    return this.#entries.size - this.#finished.size;
  }

  add(jobId: JobId, digest: BodyDigest, bodyBytes: number): JobEntry {
    let resolve: (result: JobResult) => void = () => undefined;
    const finished = new Promise<JobResult>(settle => {
      resolve = settle;
    });
    const entry: StoredEntry = {
      jobId,
      digest,
      finished,
      result: undefined,
      resolve,
      finishedAt: 0,
      bytes: bodyBytes,
    };
    this.#addBytes(bodyBytes);
    this.#entries.set(jobId, entry);
    return entry;
  }

  /** Counts an answer of a job in flight; ignored once the job has a result. */
  addAnswerBytes(jobId: JobId, bytes: number): void {
    const entry = this.#entries.get(jobId);
    if (entry === undefined || entry.result !== undefined) return;
    this.#resize(entry, entry.bytes + bytes);
  }

  /** Finishes a job and keeps its result. Only the first result counts. */
  finish(jobId: JobId, result: JobResult): void {
    const entry = this.#entries.get(jobId);
    if (entry === undefined || entry.result !== undefined) return;
    entry.result = result;
    entry.finishedAt = this.#timers.now();
    this.#resize(entry, measureResultSize(result));
    this.#resultBytes += entry.bytes;
    this.#finished.add(entry);
    entry.resolve(result);
    this.#evictOldResults();
  }

  /** Removes a job that was not started here, and ends the wait of its callers with this result. */
  withdraw(jobId: JobId, result: JobResult): void {
    const entry = this.#entries.get(jobId);
    if (entry === undefined) return;
    this.#entries.delete(jobId);
    this.#addBytes(-entry.bytes);
    entry.resolve(result);
  }

  #evictOldResults(): void {
    const cutoff = this.#timers.now() - this.#retention.answersMilliseconds;
    for (const entry of this.#finished) {
      const isOld = entry.finishedAt <= cutoff;
      if (!isOld && this.#resultBytes <= this.#retention.answersBytes) return;
      this.#finished.delete(entry);
      this.#entries.delete(entry.jobId);
      this.#resultBytes -= entry.bytes;
      this.#addBytes(-entry.bytes);
    }
  }

  #resize(entry: StoredEntry, bytes: number): void {
    this.#addBytes(bytes - entry.bytes);
    entry.bytes = bytes;
  }

  #addBytes(bytes: number): void {
    this.#held.record(this.#held.bytes + bytes);
  }
}

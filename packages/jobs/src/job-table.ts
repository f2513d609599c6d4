/** The jobs of one dispatcher: those in flight and the results kept for resubmissions. */
import type { TimerService } from '@cranberryturn/timers';
import {
  type BodyDigest,
  type JobId,
  JobOutcome,
  type JobResult,
  type Milliseconds,
} from '@cranberryturn/types';

/** How long and how much results are kept. */
export interface ResultRetention {
  readonly answersMilliseconds: Milliseconds;
  readonly answersBytes: number;
}

/** One job of the table. */
export interface JobEntry {
  readonly jobId: JobId;
  readonly digest: BodyDigest;
  /** Resolves with the final result. Never rejects. */
  readonly finished: Promise<JobResult>;
  result: JobResult | undefined;
}

interface StoredEntry extends JobEntry {
  readonly resolve: (result: JobResult) => void;
  finishedAt: Milliseconds;
  bytes: number;
}

/** Jobs by identifier. */
export class JobTable {
  readonly #timers: TimerService;
  readonly #retention: ResultRetention;
  readonly #entries = new Map<JobId, StoredEntry>();
  /** Finished entries, oldest first. */
  readonly #finished = new Set<StoredEntry>();
  #bytes = 0;

  constructor(timers: TimerService, retention: ResultRetention) {
    this.#timers = timers;
    this.#retention = retention;
  }

  find(jobId: JobId): JobEntry | undefined {
    this.#forgetOldResults();
    return this.#entries.get(jobId);
  }

  /** Number of jobs in flight. */
  get inFlight(): number {
    return this.#entries.size - this.#finished.size;
  }

  add(jobId: JobId, digest: BodyDigest): JobEntry {
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
      bytes: 0,
    };
    this.#entries.set(jobId, entry);
    return entry;
  }

  /** Gives every waiting caller the result. Only the first result counts. */
  finish(jobId: JobId, result: JobResult): void {
    const entry = this.#entries.get(jobId);
    if (entry === undefined || entry.result !== undefined) return;
    entry.result = result;
    entry.finishedAt = this.#timers.now();
    entry.bytes = measureResult(result);
    this.#bytes += entry.bytes;
    this.#finished.add(entry);
    entry.resolve(result);
    this.#forgetOldResults();
  }

  /** Removes a job that was never claimed, after its callers got this result. */
  withdraw(jobId: JobId, result: JobResult): void {
    const entry = this.#entries.get(jobId);
    if (entry === undefined) return;
    this.#entries.delete(jobId);
    entry.resolve(result);
  }

  #forgetOldResults(): void {
    const horizon = this.#timers.now() - this.#retention.answersMilliseconds;
    for (const entry of this.#finished) {
      const isOld = entry.finishedAt <= horizon;
      if (!isOld && this.#bytes <= this.#retention.answersBytes) return;
      this.#finished.delete(entry);
      this.#entries.delete(entry.jobId);
      this.#bytes -= entry.bytes;
    }
  }
}

function measureResult(result: JobResult): number {
  if (result.outcome === JobOutcome.Failed) return result.reason.length;
  return result.answers.reduce((sum, one) => sum + one.answer.length, 0);
}

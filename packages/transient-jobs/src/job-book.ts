/** The jobs in progress at one dispatcher, and what is remembered of those that ended lately. */
import type { TimerService } from '@cranberryturn/timers';
import type { JobId, Milliseconds } from '@cranberryturn/types';

import type { ActiveJob } from './active-job.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';

/** Callers whose connection broke come back within this time for an answer that was sent. */
const endsKeptMilliseconds: Milliseconds = 5_000;

interface EndedJob {
  /** The answer; undefined when the job may run again. */
  readonly answer: TransientJobEnd | undefined;
  /** Highest number of a run. */
  readonly lastRun: number;
}

/** Jobs by their identifier. */
export class JobBook {
  readonly #timers: TimerService;
  readonly #active = new Map<JobId, ActiveJob>();
  readonly #ended = new Map<JobId, EndedJob>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  get size(): number {
    return this.#active.size;
  }

  list(): readonly ActiveJob[] {
    return [...this.#active.values()];
  }

  find(jobId: JobId): ActiveJob | undefined {
    return this.#active.get(jobId);
  }

  /** The answer of a job that ended lately. */
  findAnswer(jobId: JobId): TransientJobEnd | undefined {
    return this.#ended.get(jobId)?.answer;
  }

  /** Highest number of a run of an earlier submission. */
  findLastRun(jobId: JobId): number {
    return this.#ended.get(jobId)?.lastRun ?? 0;
  }

  add(active: ActiveJob): void {
    this.#active.set(active.job.jobId, active);
  }

  end(active: ActiveJob, end: TransientJobEnd): void {
    const { jobId } = active.job;
    this.#active.delete(jobId);
    const isAnswer =
      end.kind === TransientJobEndKind.Completed ||
      end.kind === TransientJobEndKind.Failed;
    const ended: EndedJob = {
      answer: isAnswer ? end : undefined,
      lastRun: Math.max(...active.tasks.map(task => task.run)),
    };
    this.#ended.set(jobId, ended);
    this.#timers.after(endsKeptMilliseconds, () => {
      if (this.#ended.get(jobId) === ended) this.#ended.delete(jobId);
    });
  }
}

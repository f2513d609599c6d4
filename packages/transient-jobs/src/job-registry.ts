/** Registry of the jobs in progress at one dispatcher, and of the recent ends that resubmissions need. */
import type { TimerService } from '@cranberryturn/timers';
import type { JobId, Milliseconds } from '@cranberryturn/types';

import type { ActiveJob } from './active-job.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';

/** A caller that lost its connection is expected to resubmit within this time, and receives the stored end. */
const endRetentionMilliseconds: Milliseconds = 5_000;

interface EndedJob {
  /** The end to return to a resubmission; undefined when the job may run again. */
  readonly finalEnd: TransientJobEnd | undefined;
  /** Highest run number of any task. */
  readonly highestRun: number;
}

/** Jobs in progress and recently ended jobs, by identifier. */
export class JobRegistry {
  readonly #timers: TimerService;
  readonly #activeJobs = new Map<JobId, ActiveJob>();
  readonly #endedJobs = new Map<JobId, EndedJob>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  get size(): number {
    return this.#activeJobs.size;
  }

  listActiveJobs(): readonly ActiveJob[] {
    return [...this.#activeJobs.values()];
  }

  findActiveJob(jobId: JobId): ActiveJob | undefined {
    return this.#activeJobs.get(jobId);
  }

  /** Finds the end of a job that completed, failed or was cancelled recently. */
  findRecentEnd(jobId: JobId): TransientJobEnd | undefined {
    return this.#endedJobs.get(jobId)?.finalEnd;
  }

  /** Whether a job has ended here recently, in any way. */
  hasEndedRecently(jobId: JobId): boolean {
    return this.#endedJobs.has(jobId);
  }

  /** Highest run number of a recent submission of the job; 0 when there was none. */
  findHighestRun(jobId: JobId): number {
    return this.#endedJobs.get(jobId)?.highestRun ?? 0;
  }

  addJob(active: ActiveJob): void {
    this.#activeJobs.set(active.job.jobId, active);
  }

  /** Moves a job from the jobs in progress to the recent ends. */
  recordEnd(active: ActiveJob, end: TransientJobEnd): void {
    const { jobId } = active.job;
    this.#activeJobs.delete(jobId);
    const isFinal =
      end.kind === TransientJobEndKind.Completed ||
      end.kind === TransientJobEndKind.Failed ||
      end.kind === TransientJobEndKind.Cancelled;
    const ended: EndedJob = {
      finalEnd: isFinal ? end : undefined,
      highestRun: Math.max(...active.tasks.map(task => task.run)),
    };
    this.#endedJobs.set(jobId, ended);
    this.#timers.after(endRetentionMilliseconds, () => {
      if (this.#endedJobs.get(jobId) === ended) this.#endedJobs.delete(jobId);
    });
  }
}

/** The jobs that a dispatcher knows: those being claimed, running ones, and kept results. */
import type { HeldMemory } from '@cranberryturn/held-memory';
import {
  type JobEntry,
  JobTable,
  measureRequestSize,
  type ResultRetention,
} from '@cranberryturn/jobs';
import type { PauseWatch, TimerService } from '@cranberryturn/timers';
import type {
  BodyDigest,
  JobId,
  JobRequest,
  JobResult,
  JsonText,
} from '@cranberryturn/types';

import type { ControlPort } from './ports/control.js';
import type { JobReporter } from './report-jobs.js';
import { createRunningJob, type RunningJob } from './running-job.js';

/** Dependencies of the open jobs. */
export interface OpenJobsOptions {
  readonly timers: TimerService;
  readonly control: ControlPort;
  readonly retention: ResultRetention;
  /** Shared with the listeners of the process; by default the limit of `retention`, alone. */
  readonly memory?: HeldMemory | undefined;
  readonly reporter: JobReporter;
  readonly pauses: Pick<PauseWatch, 'hasPausedSince'>;
}

/** Tracks jobs from their arrival until their result is dropped. */
export class OpenJobs {
  readonly #options: OpenJobsOptions;
  readonly #table: JobTable;
  readonly #running = new Map<JobId, RunningJob>();
  /** Jobs whose claim has no outcome yet. */
  readonly #claiming = new Map<JobId, RunningJob>();

  constructor(options: OpenJobsOptions) {
    this.#options = options;
    this.#table = new JobTable(
      options.timers,
      options.retention,
      options.memory,
    );
  }

  /** Number of jobs without a result. */
  get inFlight(): number {
    return this.#table.inFlight;
  }

  /** Size of the bodies of jobs in flight and of all answers, in UTF-16 code units. */
  get heldBytes(): number {
    return this.#table.heldBytes;
  }

  find(jobId: JobId): JobEntry | undefined {
    return this.#table.find(jobId);
  }

  findRunning(jobId: JobId): RunningJob | undefined {
    return this.#running.get(jobId);
  }

  findClaiming(jobId: JobId): RunningJob | undefined {
    return this.#claiming.get(jobId);
  }

  /** Adds a job that has just arrived. */
  open(request: JobRequest, requestId: string, digest: BodyDigest): RunningJob {
    const bodyBytes = measureRequestSize(request);
    const hasRoom = this.#table.hasRoomFor(bodyBytes);
    const entry = this.#table.add(request.jobId, digest, bodyBytes);
    const { timers } = this.#options;
    return createRunningJob(request, requestId, entry, hasRoom, timers);
  }

  beginClaim(job: RunningJob): void {
    this.#claiming.set(job.request.jobId, job);
  }

  endClaim(job: RunningJob): void {
    const { jobId } = job.request;
    if (this.#claiming.get(jobId) === job) this.#claiming.delete(jobId);
  }

  /** Marks a job as running, after which the ends of its tasks are recorded. */
  markRunning(job: RunningJob): void {
    this.endClaim(job);
    this.#running.set(job.request.jobId, job);
  }

  /** Counts an answer towards the held size. */
  addAnswerBytes(jobId: JobId, answer: JsonText): void {
    this.#table.addAnswerBytes(jobId, answer.length);
  }

  /**
   * Finishes a job with the collected result, and notifies control when the job was claimed. Other
   * dispatchers may have adopted a claimed job, and run it, while this process was paused.
   */
  finish(job: RunningJob): void {
    const { request } = job;
    const { timers, control, reporter, pauses } = this.#options;
    this.#running.delete(request.jobId);
    const isClaimed = job.claimedEpoch !== undefined;
    if (isClaimed && pauses.hasPausedSince(job.arrivedAt))
      job.collection.recordUncertainty();
    const result = job.collection.composeResult(timers.now() >= job.deadline);
    reporter.reportReplied(job, result);
    this.#table.finish(request.jobId, result);
    if (job.claimedEpoch === undefined) return;
    control.claims.finishClaim(request.team, request.jobId, job.claimedEpoch);
  }

  /** Finishes a joined job with the result that its owner returned. */
  finishJoined(jobId: JobId, result: JobResult): void {
    this.#table.finish(jobId, result);
  }

  /** Ends a job with this result and removes the job. */
  withdraw(jobId: JobId, result: JobResult): void {
    this.#table.withdraw(jobId, result);
  }
}

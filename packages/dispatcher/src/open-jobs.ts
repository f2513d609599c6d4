/** The jobs that a dispatcher knows: claimed, running, and answered ones that are kept. */
import {
  type JobEntry,
  JobTable,
  measureRequestSize,
  type ResultRetention,
} from '@cranberryturn/jobs';
import type { TimerService } from '@cranberryturn/timers';
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

/** What the jobs are kept with. */
export interface OpenJobsOptions {
  readonly timers: TimerService;
  readonly control: ControlPort;
  readonly retention: ResultRetention;
  readonly reporter: JobReporter;
}

/** The jobs that a dispatcher knows. */
export class OpenJobs {
  readonly #options: OpenJobsOptions;
  readonly #table: JobTable;
  readonly #running = new Map<JobId, RunningJob>();
  /** Jobs whose claim is under way. */
  readonly #claiming = new Map<JobId, RunningJob>();

  constructor(options: OpenJobsOptions) {
    this.#options = options;
    this.#table = new JobTable(options.timers, options.retention);
  }

  /** Number of jobs in flight. */
  get inFlight(): number {
    return this.#table.inFlight;
  }

  /** Size of the bodies in flight and of all answers kept. */
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

  /** Records a job that has just arrived. */
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

  /** The fates of its tasks count from now on. */
  markRunning(job: RunningJob): void {
    this.endClaim(job);
    this.#running.set(job.request.jobId, job);
  }

  /** Counts an answer towards what is held. */
  addAnswerBytes(jobId: JobId, answer: JsonText): void {
    this.#table.addAnswerBytes(jobId, answer.length);
  }

  /** Gives every waiting caller what the collection of the job holds. */
  finish(job: RunningJob): void {
    const { request } = job;
    const { timers, control, reporter } = this.#options;
    this.#running.delete(request.jobId);
    const result = job.collection.composeResult(timers.now() >= job.deadline);
    reporter.reportReplied(job, result);
    this.#table.finish(request.jobId, result);
    if (job.claimedEpoch === undefined) return;
    control.claims.finishClaim(request.team, request.jobId, job.claimedEpoch);
  }

  /** Gives every waiting caller the result of the owner. */
  finishJoined(jobId: JobId, result: JobResult): void {
    this.#table.finish(jobId, result);
  }

  /** Gives every waiting caller this result, and keeps nothing of the job. */
  withdraw(jobId: JobId, result: JobResult): void {
    this.#table.withdraw(jobId, result);
  }
}

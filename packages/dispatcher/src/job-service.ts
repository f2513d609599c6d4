/** Takes jobs from admission to their whole result. */
import { randomUUID } from 'node:crypto';

import {
  digestJob,
  type JobEntry,
  JobTable,
  type ResultRetention,
} from '@cranberryturn/jobs';
import { Counter, Distribution, type Metrics } from '@cranberryturn/metrics';
import {
  type JobOwnership,
  type Scheduler,
  type TaskFate,
  TaskFateKind,
  type TaskObserver,
  type TaskPlan,
  TaskPlanKind,
} from '@cranberryturn/scheduling';
import type { TimerService } from '@cranberryturn/timers';
import {
  AttemptOutcome,
  type AttemptResult,
  type ClaimGranted,
  type DecisionSink,
  type DispatcherIdentity,
  type JobId,
  type JobRequest,
  type JobResult,
  type Milliseconds,
  type TaskId,
} from '@cranberryturn/types';

import {
  describeNotRun,
  describeOwnership,
  describePerhaps,
  describeRefusal,
  describeResult,
  describeTooOld,
} from './describe-submission.js';
import type { DispatcherLinks } from './dispatcher-links.js';
import { ownJob, type Ownership, OwnershipKind } from './own-job.js';
import type { ControlPort } from './ports/control.js';
import { AdoptionPlanner } from './plan-adoption.js';
import { JobReporter } from './report-jobs.js';
import { createRunningJob, type RunningJob } from './running-job.js';
import {
  refuseForNow,
  refuseUnregistered,
  type Submission,
  SubmissionKind,
} from './submission.js';
import type { TargetDirectory } from './target-directory.js';
import { waitForRoster } from './wait-for-roster.js';

const comeBackMilliseconds: Milliseconds = 1_000;

/** What the service is built from. */
export interface JobServiceOptions {
  readonly self: DispatcherIdentity;
  readonly timers: TimerService;
  readonly control: ControlPort;
  readonly links: DispatcherLinks;
  readonly targets: TargetDirectory;
  readonly retention: ResultRetention;
  /** Whether control knows this run: others find the owner of a job through it. */
  readonly isRegistered: () => boolean;
  readonly metrics: Metrics;
  readonly decisions: DecisionSink;
}

/** Takes jobs from admission to their whole result. */
export class JobService implements TaskObserver {
  readonly #options: JobServiceOptions;
  readonly #table: JobTable;
  readonly #reporter: JobReporter;
  readonly #running = new Map<JobId, RunningJob>();
  readonly #adoptions: AdoptionPlanner;
  #scheduler: Scheduler | undefined;
  #stopping = false;

  constructor(options: JobServiceOptions) {
    this.#options = options;
    this.#table = new JobTable(options.timers, options.retention);
    this.#adoptions = new AdoptionPlanner(options);
    this.#reporter = new JobReporter({
      ...options,
      dispatcherId: options.self.dispatcherId,
    });
  }

  /** Connects the scheduler, which needs this service as its observer. */
  attachScheduler(scheduler: Scheduler): void {
    this.#scheduler = scheduler;
  }

  /** Number of jobs in flight. */
  get inFlight(): number {
    return this.#table.inFlight;
  }

  /** Refuses new jobs from now on. */
  stopAdmission(): void {
    this.#stopping = true;
  }

  find(jobId: JobId): JobEntry | undefined {
    return this.#table.find(jobId);
  }

  /** Submits a job, or joins it when it is known. Resolves with its final result. */
  async submitJob(request: JobRequest, requestId: string): Promise<Submission> {
    const digest = digestJob(request);
    const known = this.#table.find(request.jobId);
    if (known !== undefined) {
      if (known.digest !== digest) return { kind: SubmissionKind.Conflict };
      this.#options.metrics.count(Counter.JobsJoined);
      return describeResult(await known.finished);
    }
    if (this.#stopping) return this.#refuseWhileStopping();
    if (!this.#options.isRegistered()) return refuseUnregistered();
    const entry = this.#table.add(request.jobId, digest);
    const job = createRunningJob(
      request,
      requestId,
      entry,
      this.#options.timers,
    );
    const refusal = this.#admit(job);
    if (refusal !== undefined) return this.#withdraw(job, refusal);
    return this.#claimAndRun(job);
  }

  /** Runs one idempotent request: not claimed, may be tried again. */
  async runRequest(
    request: JobRequest,
    requestId: string,
  ): Promise<Submission> {
    if (this.#stopping) return this.#refuseWhileStopping();
    const entry = this.#table.add(request.jobId, digestJob(request));
    const job = createRunningJob(
      request,
      requestId,
      entry,
      this.#options.timers,
    );
    const refusal = this.#admit(job);
    if (refusal !== undefined) return this.#withdraw(job, refusal);
    this.#place(job, { epoch: 1, registeredUpTo: undefined });
    return describeResult(await entry.finished);
  }

  /** Cancels a job that runs here. Resolves with its result; undefined when it is not known. */
  async cancelJob(jobId: JobId): Promise<JobResult | undefined> {
    const entry = this.#table.find(jobId);
    if (entry === undefined) return undefined;
    if (entry.result === undefined) this.#reporter.reportCancelled();
    this.#scheduler?.cancelJob(jobId, 'The caller cancelled the job.');
    return entry.finished;
  }

  /** Notes a result before the scheduler takes it. */
  noteResult(result: AttemptResult): void {
    this.#adoptions.noteResult(result);
    const job = this.#running.get(result.jobId);
    if (result.outcome === AttemptOutcome.NotStarted) return;
    if (job === undefined) {
      this.#reporter.reportLateAnswer();
      return;
    }
    job.longestRun = Math.max(job.longestRun, result.runMilliseconds);
  }

  taskEnded(jobId: JobId, taskId: TaskId, fate: TaskFate): void {
    const job = this.#running.get(jobId);
    if (job === undefined) return;
    const failedBefore = job.collection.failure !== undefined;
    job.collection.recordFate(taskId, fate);
    if (fate.kind !== TaskFateKind.Answered && !failedBefore) {
      this.#scheduler?.cancelJob(jobId, 'Another task of the job failed.');
    }
    if (job.collection.isWhole) this.#finish(job);
  }

  #admit(job: RunningJob): Submission | undefined {
    const admitted = this.#scheduler?.admitJob(job.request, job.requestId);
    if (admitted?.isErr() === true) return describeRefusal(admitted.error);
    this.#reporter.reportAdmitted(job);
    return undefined;
  }

  async #claimAndRun(job: RunningJob): Promise<Submission> {
    const ownership = await this.#own(job);
    switch (ownership.kind) {
      case OwnershipKind.Fresh:
        await this.#startFresh(job, ownership.grant);
        return describeResult(await job.entry.finished);
      case OwnershipKind.Adopted:
        await this.#startAdopted(job, ownership.grant);
        return describeResult(await job.entry.finished);
      case OwnershipKind.Joined:
        this.#scheduler?.releaseAdmission(job.request.jobId);
        this.#table.finish(job.request.jobId, ownership.result);
        return describeResult(ownership.result);
      case OwnershipKind.Conflict:
        return this.#withdraw(job, { kind: SubmissionKind.Conflict });
      case OwnershipKind.Refused:
        return this.#withdraw(job, describeTooOld(ownership.reason));
      case OwnershipKind.Elsewhere:
        return this.#finishElsewhere(job, ownership.reason);
      case OwnershipKind.Unavailable:
        return this.#withdraw(
          job,
          refuseForNow(
            `The job could not be claimed: ${ownership.reason} Submit it again.`,
            comeBackMilliseconds,
          ),
        );
    }
  }

  async #own(job: RunningJob): Promise<Ownership> {
    const { timers, control, links, self, metrics } = this.#options;
    const { jobId, team, service } = job.request;
    const began = timers.now();
    const ownership = await ownJob({
      claim: {
        team,
        jobId,
        service,
        digest: job.entry.digest,
        owner: self,
        submissionId: randomUUID(),
      },
      deadline: job.deadline,
      control,
      links,
      timers,
    });
    metrics.record(Distribution.ClaimMilliseconds, timers.now() - began);
    return ownership;
  }

  async #startFresh(job: RunningJob, grant: ClaimGranted): Promise<void> {
    await this.#noteGrant(job, grant);
    this.#place(job, describeOwnership(grant));
  }

  async #startAdopted(job: RunningJob, grant: ClaimGranted): Promise<void> {
    const { jobId } = job.request;
    this.#options.metrics.count(Counter.JobsAdopted);
    await this.#noteGrant(job, grant);
    const plan = await this.#adoptions.planAdoption(job, grant);
    this.#running.set(jobId, job);
    if (plan.plans.length === 0) {
      this.#scheduler?.releaseAdmission(jobId);
    } else {
      this.#scheduler?.startJob(jobId, describeOwnership(grant), plan.plans);
    }
    for (const { taskId, fate } of plan.ended) {
      this.taskEnded(jobId, taskId, fate);
    }
  }

  async #noteGrant(job: RunningJob, grant: ClaimGranted): Promise<void> {
    const { control, timers } = this.#options;
    job.claimedEpoch = grant.epoch;
    this.#reporter.reportClaimed(job, grant);
    await waitForRoster(
      control.roster,
      grant.rosterVersion,
      timers,
      Math.max(0, job.deadline - timers.now()),
    );
  }

  #place(job: RunningJob, ownership: JobOwnership): void {
    const { jobId, tasks } = job.request;
    this.#running.set(jobId, job);
    const plans = tasks.map<TaskPlan>(task => ({
      kind: TaskPlanKind.Place,
      taskId: task.taskId,
    }));
    this.#scheduler?.startJob(jobId, ownership, plans);
  }

  #finish(job: RunningJob): void {
    const { request } = job;
    const { timers, control } = this.#options;
    this.#running.delete(request.jobId);
    const result = job.collection.composeResult(timers.now() >= job.deadline);
    this.#reporter.reportReplied(job, result);
    this.#table.finish(request.jobId, result);
    if (job.claimedEpoch === undefined) return;
    control.claims.finishClaim(request.team, request.jobId, job.claimedEpoch);
  }

  /** The job is known to control, and its owner gave no result: it may have been started. */
  #finishElsewhere(job: RunningJob, reason: string): Submission {
    const { jobId } = job.request;
    const result = describePerhaps(jobId, reason);
    this.#scheduler?.releaseAdmission(jobId);
    this.#table.withdraw(jobId, result);
    return describeResult(result);
  }

  #refuseWhileStopping(): Submission {
    return refuseForNow(
      'This dispatcher is stopping; submit to another one.',
      comeBackMilliseconds,
    );
  }

  #withdraw(job: RunningJob, refusal: Submission): Submission {
    const reason =
      refusal.kind === SubmissionKind.Refused ? refusal.reason : 'conflict';
    this.#reporter.reportRefused(job, reason);
    const { jobId } = job.request;
    this.#scheduler?.releaseAdmission(jobId);
    this.#table.withdraw(jobId, describeNotRun(jobId, reason));
    return refusal;
  }
}

/** Takes jobs from admission to their whole result. */
import {
  digestJobBody,
  type JobEntry,
  type ResultRetention,
} from '@cranberryturn/jobs';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import {
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
  type DecisionSink,
  type DispatcherIdentity,
  type JobId,
  type JobRequest,
  type JobResult,
  type Milliseconds,
  type TaskId,
} from '@cranberryturn/types';

import {
  findResultElsewhere,
  listOtherDispatchers,
} from './handle-dispatcher-calls.js';
import { claimJob } from './claim-job.js';
import {
  composeNotStartedResult,
  composeUncertainResult,
  refuseAdmission,
  composeSubmissionResult,
  refuseClaim,
} from './compose-results.js';
import type { DispatcherLinks } from './dispatcher-links.js';
import { type Ownership, OwnershipKind } from './acquire-job.js';
import { OpenJobs } from './open-jobs.js';
import type { ControlPort } from './ports/control.js';
import { AdoptionPlanner } from './plan-adoption.js';
import { JobReporter } from './report-jobs.js';
import type { RunningJob } from './running-job.js';
import {
  refuseTemporarily,
  refuseOverMemoryLimit,
  refuseUnregistered,
  type SubmissionResult,
  SubmissionResultKind,
} from './submission-result.js';
import { JobStarter } from './start-claimed-jobs.js';
import type { TargetDirectory } from './target-directory.js';

const refusalRetryAfterMilliseconds: Milliseconds = 1_000;

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
  readonly #jobs: OpenJobs;
  readonly #reporter: JobReporter;
  readonly #adoptions: AdoptionPlanner;
  readonly #starter: JobStarter;
  #scheduler: Scheduler | undefined;
  #isStopping = false;

  constructor(options: JobServiceOptions) {
    this.#options = options;
    this.#adoptions = new AdoptionPlanner(options);
    this.#reporter = new JobReporter({
      ...options,
      dispatcherId: options.self.dispatcherId,
    });
    this.#jobs = new OpenJobs({ ...options, reporter: this.#reporter });
    this.#starter = new JobStarter({
      ...options,
      reporter: this.#reporter,
      adoptions: this.#adoptions,
      getScheduler: () => this.#scheduler,
      jobs: this.#jobs,
      endTask: (jobId, taskId, fate) => {
        this.taskEnded(jobId, taskId, fate);
      },
    });
  }

  /** Connects the scheduler, which needs this service as its observer. */
  attachScheduler(scheduler: Scheduler): void {
    this.#scheduler = scheduler;
  }

  /** Number of jobs in flight. */
  get inFlight(): number {
    return this.#jobs.inFlight;
  }

  /** Size of the bodies in flight and of all answers kept. */
  get heldBytes(): number {
    return this.#jobs.heldBytes;
  }

  /** Refuses new jobs from now on. */
  stopAdmission(): void {
    this.#isStopping = true;
  }

  find(jobId: JobId): JobEntry | undefined {
    return this.#jobs.find(jobId);
  }

  /** Submits a job, or joins it when it is known. Resolves with its final result. */
  async submitJob(
    request: JobRequest,
    requestId: string,
  ): Promise<SubmissionResult> {
    const digest = digestJobBody(request);
    const known = this.#jobs.find(request.jobId);
    if (known !== undefined) {
      if (known.digest !== digest)
        return { kind: SubmissionResultKind.Conflict };
      this.#options.metrics.count(Counter.JobsJoined);
      return composeSubmissionResult(await known.finished);
    }
    if (this.#isStopping) return this.#refuseWhileStopping();
    if (!this.#options.isRegistered()) return refuseUnregistered();
    const job = this.#jobs.open(request, requestId, digest);
    const refusal = this.#admit(job);
    if (refusal !== undefined) return this.#reject(job, refusal);
    return this.#claimAndRun(job);
  }

  /** Runs one idempotent request: not claimed, may be tried again. */
  async runRequest(
    request: JobRequest,
    requestId: string,
  ): Promise<SubmissionResult> {
    if (this.#isStopping) return this.#refuseWhileStopping();
    const job = this.#jobs.open(request, requestId, digestJobBody(request));
    const refusal = this.#admit(job);
    if (refusal !== undefined) return this.#reject(job, refusal);
    this.#placeUnclaimed(job);
    return composeSubmissionResult(await job.entry.finished);
  }

  /** Cancels a job that runs here. Resolves with its result; undefined when it is not known. */
  async cancelJob(jobId: JobId): Promise<JobResult | undefined> {
    const entry = this.#jobs.find(jobId);
    if (entry === undefined) return undefined;
    if (entry.result === undefined) this.#reporter.reportCancelled();
    this.#cancel(jobId);
    return entry.finished;
  }

  /** Notes a result before the scheduler takes it. */
  recordResult(result: AttemptResult): void {
    this.#adoptions.recordResult(result);
    const job = this.#jobs.findRunning(result.jobId);
    if (result.outcome === AttemptOutcome.NotStarted) return;
    if (job === undefined) {
      this.#reporter.reportLateAnswer();
      return;
    }
    job.longestRunMilliseconds = Math.max(
      job.longestRunMilliseconds,
      result.runMilliseconds,
    );
  }

  taskEnded(jobId: JobId, taskId: TaskId, fate: TaskFate): void {
    const job = this.#jobs.findRunning(jobId);
    if (job === undefined) return;
    const hadFailed = job.collection.failure !== undefined;
    job.collection.recordFate(taskId, fate);
    if (fate.kind === TaskFateKind.Answered) {
      this.#jobs.addAnswerBytes(jobId, fate.answer);
    }
    if (fate.kind !== TaskFateKind.Answered && !hadFailed) {
      this.#scheduler?.cancelJob(jobId, 'Another task of the job failed.');
    }
    if (job.collection.isComplete) this.#jobs.finish(job);
  }

  #cancel(jobId: JobId): void {
    const reason = 'The caller cancelled the job.';
    const claiming = this.#jobs.findClaiming(jobId);
    if (claiming === undefined) {
      this.#scheduler?.cancelJob(jobId, reason);
      return;
    }
    if (claiming.cancelReason !== undefined) return;
    // Whether tasks may be started here is known once the claim is settled.
    claiming.cancelReason = reason;
    // Meanwhile another dispatcher may own the job, which is only joined here.
    const { links, control, self } = this.#options;
    const others = listOtherDispatchers(control.roster, self);
    void findResultElsewhere(links, others, jobId, true);
  }

  #admit(job: RunningJob): SubmissionResult | undefined {
    if (!job.hasRoom) return refuseOverMemoryLimit();
    const admitted = this.#scheduler?.admitJob(job.request, job.requestId);
    if (admitted?.isErr() === true) return refuseAdmission(admitted.error);
    this.#reporter.reportAdmitted(job);
    return undefined;
  }

  async #claimAndRun(job: RunningJob): Promise<SubmissionResult> {
    this.#jobs.beginClaim(job);
    const ownership = await claimJob(this.#options, job);
    const submission = await this.#handleOwnership(job, ownership);
    this.#jobs.endClaim(job);
    return submission;
  }

  async #handleOwnership(
    job: RunningJob,
    ownership: Ownership,
  ): Promise<SubmissionResult> {
    switch (ownership.kind) {
      case OwnershipKind.Fresh:
        await this.#starter.startFreshJob(job, ownership.grant);
        return composeSubmissionResult(await job.entry.finished);
      case OwnershipKind.Adopted:
        await this.#starter.startAdoptedJob(job, ownership.grant);
        return composeSubmissionResult(await job.entry.finished);
      case OwnershipKind.Joined:
        this.#scheduler?.releaseAdmission(job.request.jobId);
        this.#jobs.finishJoined(job.request.jobId, ownership.result);
        return composeSubmissionResult(ownership.result);
      case OwnershipKind.Conflict:
        return this.#reject(job, { kind: SubmissionResultKind.Conflict });
      case OwnershipKind.Refused:
        return this.#reject(job, refuseClaim(ownership.reason));
      case OwnershipKind.Indeterminate:
        return this.#finishIndeterminate(job, ownership.reason);
      case OwnershipKind.Unavailable:
        return this.#reject(
          job,
          refuseTemporarily(
            `The job could not be claimed: ${ownership.reason} Submit it again.`,
            refusalRetryAfterMilliseconds,
          ),
        );
    }
  }

  #placeUnclaimed(job: RunningJob): void {
    const { jobId, tasks } = job.request;
    this.#jobs.markRunning(job);
    const plans = tasks.map<TaskPlan>(task => ({
      kind: TaskPlanKind.Place,
      taskId: task.taskId,
    }));
    const ownership = { epoch: 1, registeredUpTo: undefined };
    this.#scheduler?.startJob(jobId, ownership, plans);
  }

  /** The job is known to control, and its owner gave no result: it may have been started. */
  #finishIndeterminate(job: RunningJob, reason: string): SubmissionResult {
    const { jobId } = job.request;
    const result = composeUncertainResult(jobId, reason);
    this.#scheduler?.releaseAdmission(jobId);
    this.#jobs.withdraw(jobId, result);
    return composeSubmissionResult(result);
  }

  #refuseWhileStopping(): SubmissionResult {
    return refuseTemporarily(
      'This dispatcher is stopping; submit to another one.',
      refusalRetryAfterMilliseconds,
    );
  }

  #reject(job: RunningJob, refusal: SubmissionResult): SubmissionResult {
    const reason =
      refusal.kind === SubmissionResultKind.Refused
        ? refusal.reason
        : 'conflict';
    this.#reporter.reportRefused(job, reason);
    const { jobId } = job.request;
    this.#scheduler?.releaseAdmission(jobId);
    this.#jobs.withdraw(jobId, composeNotStartedResult(jobId, reason));
    return refusal;
  }
}

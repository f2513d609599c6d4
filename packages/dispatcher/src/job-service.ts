/** Runs jobs from admission to their result. */
import type { HeldMemory } from '@cranberryturn/held-memory';
import {
  digestJobBody,
  type JobEntry,
  type ResultRetention,
} from '@cranberryturn/jobs';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import {
  type Scheduler,
  type TaskOutcome,
  TaskOutcomeKind,
  type TaskObserver,
  type TaskPlan,
  TaskPlanKind,
} from '@cranberryturn/scheduling';
import type { PauseWatch, TimerService } from '@cranberryturn/timers';
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

/** Dependencies of the service. */
export interface JobServiceOptions {
  readonly self: DispatcherIdentity;
  readonly timers: TimerService;
  readonly control: ControlPort;
  readonly links: DispatcherLinks;
  readonly targets: TargetDirectory;
  readonly retention: ResultRetention;
  /** Shared with the listeners of the process; by default the limit of `retention`, alone. */
  readonly memory?: HeldMemory | undefined;
  /** Whether this run is registered at control, through which other dispatchers find the owner of a job. */
  readonly isRegistered: () => boolean;
  readonly metrics: Metrics;
  readonly decisions: DecisionSink;
  /** Pauses of this process, long enough for others to take over its jobs. */
  readonly pauses: Pick<PauseWatch, 'hasPausedSince'>;
}

/** Admits, claims, starts and finishes jobs. */
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
      endTask: (jobId, taskId, outcome) => {
        this.taskEnded(jobId, taskId, outcome);
      },
    });
  }

  /** Connects the scheduler, which needs this service as its observer. */
  attachScheduler(scheduler: Scheduler): void {
    this.#scheduler = scheduler;
  }

  /** Number of jobs without a result. */
  get inFlight(): number {
    return this.#jobs.inFlight;
  }

  /** Size of the bodies of jobs in flight and of all answers, in UTF-16 code units. */
  get heldBytes(): number {
    return this.#jobs.heldBytes;
  }

  /** Refuses new jobs; jobs in flight go on. */
  stopAdmission(): void {
    this.#isStopping = true;
  }

  find(jobId: JobId): JobEntry | undefined {
    return this.#jobs.find(jobId);
  }

  /** Submits a job, or joins it when it is already known. Resolves with its final result or a refusal. */
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

  /** Runs an idempotent request, which needs no claim and may be retried. */
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

  /** Cancels a job. Resolves with its result, or with undefined when the job is not known here. */
  async cancelJob(jobId: JobId): Promise<JobResult | undefined> {
    const entry = this.#jobs.find(jobId);
    if (entry === undefined) return undefined;
    if (entry.result === undefined) this.#reporter.reportCancelled();
    this.#cancel(jobId);
    return entry.finished;
  }

  /** Records the result of an attempt; called before the scheduler gets it. */
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

  taskEnded(jobId: JobId, taskId: TaskId, outcome: TaskOutcome): void {
    const job = this.#jobs.findRunning(jobId);
    if (job === undefined) return;
    const hadFailed = job.collection.failure !== undefined;
    job.collection.recordOutcome(taskId, outcome);
    if (outcome.kind === TaskOutcomeKind.Answered) {
      this.#jobs.addAnswerBytes(jobId, outcome.answer);
    }
    if (outcome.kind !== TaskOutcomeKind.Answered && !hadFailed) {
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
    // Only the outcome of the claim decides whether tasks may start here.
    claiming.cancelReason = reason;
    // Another dispatcher may own the job, with this one only waiting for its result.
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
    const outcome = await this.#handleOwnership(job, ownership);
    this.#jobs.endClaim(job);
    return outcome;
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

  /** Fails a job whose earlier owner returned no result; its tasks may have been started. */
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

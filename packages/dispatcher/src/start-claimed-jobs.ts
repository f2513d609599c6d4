/** Starts jobs whose claim was granted. */
import { Counter, type Metrics } from '@cranberryturn/metrics';
import {
  type Scheduler,
  type TaskFate,
  type TaskPlan,
  TaskPlanKind,
} from '@cranberryturn/scheduling';
import type { TimerService } from '@cranberryturn/timers';
import {
  type ClaimGranted,
  type JobId,
  Started,
  type TaskId,
} from '@cranberryturn/types';

import { describeOwnership } from './describe-submission.js';
import type { OpenJobs } from './open-jobs.js';
import type { AdoptionPlanner } from './plan-adoption.js';
import type { ControlPort } from './ports/control.js';
import type { JobReporter } from './report-jobs.js';
import type { RunningJob } from './running-job.js';
import { waitForRoster } from './wait-for-roster.js';

/** What the starter is built from. */
export interface JobStarterOptions {
  readonly timers: TimerService;
  readonly control: ControlPort;
  readonly metrics: Metrics;
  readonly reporter: JobReporter;
  readonly adoptions: AdoptionPlanner;
  readonly scheduler: () => Scheduler | undefined;
  readonly jobs: OpenJobs;
  readonly taskEnded: (jobId: JobId, taskId: TaskId, fate: TaskFate) => void;
}

/** Starts jobs whose claim was granted. */
export class JobStarter {
  readonly #options: JobStarterOptions;

  constructor(options: JobStarterOptions) {
    this.#options = options;
  }

  /** Starts a job of which no task was ever started. */
  async startFresh(job: RunningJob, grant: ClaimGranted): Promise<void> {
    const fault = await this.#noteGrant(job, grant);
    const reason = job.cancelReason ?? fault;
    if (reason !== undefined) {
      this.#endUnstarted(job, reason, Started.No);
      return;
    }
    const { scheduler, jobs } = this.#options;
    jobs.start(job);
    const plans = job.request.tasks.map<TaskPlan>(task => ({
      kind: TaskPlanKind.Place,
      taskId: task.taskId,
    }));
    scheduler()?.startJob(job.request.jobId, describeOwnership(grant), plans);
  }

  /** Starts what an earlier owner did not start, and waits for what it did. */
  async startAdopted(job: RunningJob, grant: ClaimGranted): Promise<void> {
    const { metrics, adoptions, scheduler, jobs } = this.#options;
    const { jobId } = job.request;
    metrics.count(Counter.JobsAdopted);
    const fault = await this.#noteGrant(job, grant);
    if (fault !== undefined) {
      this.#endUnstarted(job, fault, Started.Perhaps);
      return;
    }
    const plan = await adoptions.planAdoption(job, grant);
    jobs.start(job);
    if (plan.plans.length === 0) {
      scheduler()?.releaseAdmission(jobId);
    } else {
      scheduler()?.startJob(jobId, describeOwnership(grant), plan.plans);
    }
    for (const { taskId, fate } of plan.ended) {
      this.#options.taskEnded(jobId, taskId, fate);
    }
    if (job.cancelReason === undefined) return;
    scheduler()?.cancelJob(jobId, job.cancelReason);
  }

  /** Returns why the job must not start; undefined when it may. */
  async #noteGrant(
    job: RunningJob,
    grant: ClaimGranted,
  ): Promise<string | undefined> {
    const { control, timers, reporter } = this.#options;
    job.claimedEpoch = grant.epoch;
    reporter.reportClaimed(job, grant);
    const known = await waitForRoster(
      control.roster,
      grant.rosterVersion,
      timers,
      Math.max(0, job.deadline - timers.now()),
    );
    return known.isErr() ? known.error.message : undefined;
  }

  #endUnstarted(job: RunningJob, reason: string, started: Started): void {
    this.#options.scheduler()?.releaseAdmission(job.request.jobId);
    job.collection.recordFailure(reason, started);
    this.#options.jobs.finish(job);
  }
}

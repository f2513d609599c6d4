/** Starts jobs whose claim was granted. */
import { Counter, type Metrics } from '@cranberryturn/metrics';
import {
  type Scheduler,
  type TaskOutcome,
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

import { composeOwnership } from './compose-results.js';
import type { OpenJobs } from './open-jobs.js';
import type { AdoptionPlanner } from './plan-adoption.js';
import type { ControlPort } from './ports/control.js';
import type { JobReporter } from './report-jobs.js';
import type { RunningJob } from './running-job.js';
import { waitForRoster } from './wait-for-roster.js';

/** Dependencies of the starter. */
export interface JobStarterOptions {
  readonly timers: TimerService;
  readonly control: ControlPort;
  readonly metrics: Metrics;
  readonly reporter: JobReporter;
  readonly adoptions: AdoptionPlanner;
  readonly getScheduler: () => Scheduler | undefined;
  readonly jobs: OpenJobs;
  readonly endTask: (
    jobId: JobId,
    taskId: TaskId,
    outcome: TaskOutcome,
  ) => void;
}

/** Starts claimed jobs once the roster is as new as the grant. */
export class JobStarter {
  readonly #options: JobStarterOptions;

  constructor(options: JobStarterOptions) {
    this.#options = options;
  }

  /** Starts a newly claimed job, of which no task was started before. */
  async startFreshJob(job: RunningJob, grant: ClaimGranted): Promise<void> {
    const failure = await this.#acceptGrant(job, grant);
    const reason = job.cancelReason ?? failure;
    if (reason !== undefined) {
      this.#failUnstartedJob(job, reason, Started.No);
      return;
    }
    const { getScheduler, jobs } = this.#options;
    jobs.markRunning(job);
    const plans = job.request.tasks.map<TaskPlan>(task => ({
      kind: TaskPlanKind.Place,
      taskId: task.taskId,
    }));
    getScheduler()?.startJob(job.request.jobId, composeOwnership(grant), plans);
  }

  /** Starts the tasks that the earlier owner did not start, and waits for those that run. */
  async startAdoptedJob(job: RunningJob, grant: ClaimGranted): Promise<void> {
    const { metrics, adoptions, getScheduler, jobs } = this.#options;
    const { jobId } = job.request;
    metrics.count(Counter.JobsAdopted);
    const failure = await this.#acceptGrant(job, grant);
    if (failure !== undefined) {
      this.#failUnstartedJob(job, failure, Started.Perhaps);
      return;
    }
    const plan = await adoptions.planAdoption(job, grant);
    jobs.markRunning(job);
    if (plan.plans.length === 0) {
      getScheduler()?.releaseAdmission(jobId);
    } else {
      getScheduler()?.startJob(jobId, composeOwnership(grant), plan.plans);
    }
    for (const { taskId, outcome } of plan.ended) {
      this.#options.endTask(jobId, taskId, outcome);
    }
    if (job.cancelReason === undefined) return;
    getScheduler()?.cancelJob(jobId, job.cancelReason);
  }

  /** Records the grant and waits for its roster. Resolves with the reason when the job must not start. */
  async #acceptGrant(
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

  #failUnstartedJob(job: RunningJob, reason: string, started: Started): void {
    this.#options.getScheduler()?.releaseAdmission(job.request.jobId);
    job.collection.recordFailure(reason, started);
    this.#options.jobs.finish(job);
  }
}

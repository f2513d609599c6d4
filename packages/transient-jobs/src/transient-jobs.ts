/** Runs transient jobs at one dispatcher: admission, placement, retries and results. */
import { Counter } from '@cranberryturn/metrics';
import { sleep } from '@cranberryturn/timers';
import type { JobId, Milliseconds, RunEnd } from '@cranberryturn/types';
import { type Connection, defaultRunValidity } from '@cranberryturn/wire';

import {
  type ActiveJob,
  type ActiveTask,
  clearWorker,
  computeCriticalPath,
  createActiveJob,
  listTasksBySession,
  TaskPhase,
} from './active-job.js';
import { CrashContainment } from './crashes/crash-containment.js';
import { recallWaitingTasks } from './recall-waiting-tasks.js';
import { attachCaller } from './attach-caller.js';
import {
  createEndedJob,
  createRefusal,
  describeJobForLog,
  reportEnd,
  reportRefusal,
} from './describe-end.js';
import type { CancelOutcome } from './job-cancels.js';
import { JobRegistry } from './job-registry.js';
import { JobStarter } from './job-starter.js';
import { LoopWatch } from './loop-watch.js';
import { PeerDispatchers } from './peer-dispatchers.js';
import { RunTimeEstimates } from './run-time-estimates.js';
import { RunTracker } from './run-tracker.js';
import type { SessionNumber } from './sidecar-session.js';
import { stopStalledRuns } from './stop-stalled-runs.js';
import { handleRunEnd } from './handle-run-end.js';
import { type Placement, TaskPlacer } from './task-placer.js';
import {
  type TransientJob,
  type TransientJobEnd,
  TransientJobEndKind,
} from './transient-job.js';
import type {
  SubmittedJob,
  TransientJobsOptions,
} from './transient-jobs-options.js';
import { WorkerDirectory } from './worker-directory.js';

const stopPollMilliseconds: Milliseconds = 20;
/** Retry time sent to callers while this dispatcher stops. Short, as another dispatcher can take the job at once. */
const stopRetryMilliseconds: Milliseconds = 500;

/** The transient jobs of one dispatcher. A job ends exactly once; its end is sent to every caller attached to the job. */
export class TransientJobs {
  readonly workers: WorkerDirectory;
  readonly #options: TransientJobsOptions;
  readonly #jobs: JobRegistry;
  readonly #runs = new RunTracker();
  readonly #containment: CrashContainment;
  readonly #estimates = new RunTimeEstimates();
  readonly #placer: TaskPlacer;
  readonly #peers: PeerDispatchers;
  readonly #starter: JobStarter;
  readonly #loopWatch: LoopWatch;
  #isStopping = false;

  constructor(options: TransientJobsOptions) {
    this.#options = options;
    this.#jobs = new JobRegistry(options.timers);
    this.#loopWatch = new LoopWatch(options.timers);
    this.#containment = new CrashContainment({
      ...options,
      listHosts: service => this.workers.listHosts(service),
    });
    this.workers = new WorkerDirectory({
      ...options,
      validity: options.validity ?? defaultRunValidity,
      runEnded: (session, end) => {
        this.#handleRunEnd(session, end);
      },
      runsStalled: (known, runs) => {
        stopStalledRuns(
          {
            logger: options.logger,
            runs: this.#runs,
            placer: this.#placer,
            workers: this.workers,
          },
          known,
          runs,
        );
      },
      runsLost: session => {
        for (const task of this.#runs.removeSession(session))
          this.#returnTask(task);
      },
      workerCrashed: (sidecar, crash) => {
        if (!this.#containment.record(sidecar, crash)) return;
        for (const { jobId } of crash.runs) this.#giveUpCrashedJob(jobId);
      },
      workerAnnounced: () => {
        this.#starter.placeAllJobs();
      },
      loadReported: known => {
        this.#starter.workerReported(known);
        recallWaitingTasks(known, {
          ...options,
          runs: this.#runs,
          workers: this.workers,
          containment: this.#containment,
        });
      },
      hasRunsIn: session => this.#runs.hasRunsIn(session),
    });
    this.#placer = new TaskPlacer({
      ...options,
      workers: this.workers,
      runs: this.#runs,
      estimates: this.#estimates,
      containment: this.#containment,
    });
    this.#peers = new PeerDispatchers({
      ...options,
      findSharedQueue: () => this.#starter.sharedQueue,
      endJob: jobId => this.#endCancelledJob(jobId),
      hasEndedRecently: jobId => this.#jobs.hasEndedRecently(jobId),
    });
    this.#starter = new JobStarter({
      ...options,
      links: this.#peers.links,
      workers: this.workers,
      placer: this.#placer,
      containment: this.#containment,
      listActiveJobs: () => this.#jobs.listActiveJobs(),
      endJob: (active, end) => {
        this.#endJob(active, end);
      },
    });
  }

  /** Number of jobs in progress. */
  get inFlight(): number {
    return this.#jobs.size;
  }

  isInProgress(jobId: JobId): boolean {
    return this.#jobs.findActiveJob(jobId) !== undefined;
  }

  /** Serves the connection of a sidecar until it ends. */
  accept(connection: Connection): void {
    this.workers.accept(connection);
  }

  /** Serves the connection of another dispatcher until it ends. */
  acceptDispatcher(connection: Connection): void {
    this.#peers.links.accept(connection);
  }

  /** Whether placement is paused because this process has just resumed from a suspension. */
  isPaused(): boolean {
    return this.#starter.isPaused();
  }

  /**
   * Submits a job. A job already in progress here is joined, and a job that ended recently returns its
   * stored end; neither starts a second execution.
   */
  submit(job: TransientJob): SubmittedJob {
    const existing = this.#jobs.findActiveJob(job.jobId);
    if (existing !== undefined) {
      this.#options.metrics.count(Counter.JobsJoined);
      return this.#attachCaller(existing);
    }
    const recentEnd = this.#jobs.findRecentEnd(job.jobId);
    if (recentEnd !== undefined) return createEndedJob(recentEnd);
    if (this.#peers.cancels.isCancelled(job.jobId))
      return reportRefusal(this.#options, job, {
        kind: TransientJobEndKind.Cancelled,
      });
    const criticalPathMilliseconds = computeCriticalPath(job, declared =>
      this.#placer.estimateRunTime({ job }, declared),
    );
    const active = createActiveJob(
      job,
      this.#options.timers.now(),
      criticalPathMilliseconds,
      this.#jobs.findHighestRun(job.jobId),
    );
    // Submitted again after its tasks have crashed the workers of other dispatchers.
    const giveUpReason = this.#containment.findGiveUpReason(active);
    if (giveUpReason !== undefined)
      return reportRefusal(this.#options, job, {
        kind: TransientJobEndKind.Failed,
        reason: giveUpReason,
      });
    const placement = this.#starter.planJob(active);
    const refusal = this.#isStopping
      ? createRefusal('this dispatcher stops', stopRetryMilliseconds)
      : this.#starter.findRefusal(active, placement);
    if (refusal !== undefined)
      return reportRefusal(this.#options, job, refusal);
    return this.#startJob(active, placement);
  }

  /** Cancels a job for all of its callers, at whichever dispatcher it is in progress. */
  cancel(jobId: JobId): Promise<CancelOutcome> {
    return this.#peers.cancels.cancel(jobId);
  }

  /**
   * Refuses new jobs from now on. Resolves when the jobs in progress have ended, or gives them up after
   * `graceMilliseconds`.
   */
  async stop(graceMilliseconds: Milliseconds): Promise<void> {
    this.#isStopping = true;
    const { timers } = this.#options;
    const stopAt = timers.now() + graceMilliseconds;
    while (this.#jobs.size > 0 && timers.now() < stopAt) {
      await sleep(timers, stopPollMilliseconds);
    }
    for (const active of this.#jobs.listActiveJobs()) {
      this.#endJob(active, {
        kind: TransientJobEndKind.GivenUp,
        reason: 'this dispatcher stops',
      });
    }
    this.#starter.close();
    this.#peers.links.close();
    this.#loopWatch.close();
    this.workers.close();
  }

  #attachCaller(active: ActiveJob): SubmittedJob {
    return attachCaller(active, () => {
      this.#options.logger.info('caller disconnected', {
        ...describeJobForLog(active.job),
        largestLoopGapMilliseconds: Math.round(
          this.#loopWatch.measureLargestGap(),
        ),
      });
      this.#endJob(active, { kind: TransientJobEndKind.Abandoned });
    });
  }

  #startJob(active: ActiveJob, placement: Placement | undefined): SubmittedJob {
    const { timers } = this.#options;
    this.#jobs.addJob(active);
    active.expiry = timers.after(active.deadlineAt - timers.now(), () => {
      this.#endJob(active, { kind: TransientJobEndKind.TimedOut });
    });
    const submitted = this.#attachCaller(active);
    this.#starter.start(active, placement);
    return submitted;
  }

  #handleRunEnd(session: SessionNumber, end: RunEnd): void {
    const task = this.#runs.removeEndedRun(session, end);
    const workerId = task?.workerId;
    if (task === undefined || workerId === undefined) return;
    clearWorker(task);
    if (task.job.end !== undefined) return;
    const jobEnd = handleRunEnd(
      {
        ...this.#options,
        estimates: this.#estimates,
        known: this.workers.findWorker(workerId),
      },
      task,
      workerId,
      end,
    );
    if (jobEnd !== undefined) this.#endJob(task.job, jobEnd);
    else this.#starter.placeTasks(task.job);
  }

  #endCancelledJob(jobId: JobId): boolean {
    const active = this.#jobs.findActiveJob(jobId);
    if (active === undefined) return false;
    this.#endJob(active, { kind: TransientJobEndKind.Cancelled });
    return true;
  }

  /** Fails a job under one of whose tasks too many workers have crashed. */
  #giveUpCrashedJob(jobId: JobId): void {
    const active = this.#jobs.findActiveJob(jobId);
    const reason = active && this.#containment.findGiveUpReason(active);
    if (active === undefined || reason === undefined) return;
    this.#endJob(active, { kind: TransientJobEndKind.Failed, reason });
  }

  /** Places a task again whose worker was lost. No run of the task is active any more. */
  #returnTask(task: ActiveTask): void {
    clearWorker(task);
    if (task.job.end !== undefined) return;
    task.phase = TaskPhase.Waiting;
    this.#starter.placeTasks(task.job);
  }

  #endJob(active: ActiveJob, end: TransientJobEnd): void {
    if (active.end !== undefined) return;
    const { job } = active;
    active.end = end;
    active.expiry?.cancel();
    this.#jobs.recordEnd(active, end);
    this.#starter.withdraw(active);
    if (!active.isAdmitted && end.kind === TransientJobEndKind.Refused) {
      reportRefusal(this.#options, job, end);
      active.resolveEnd(end);
      return;
    }
    for (const [session, taskIds] of listTasksBySession(active)) {
      this.workers.stopRuns(session, { jobId: job.jobId, taskIds });
    }
    reportEnd(this.#options, active, end);
    active.resolveEnd(end);
  }
}

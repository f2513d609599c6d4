/** Runs transient jobs at one dispatcher: admits, places, retries, and tells how they ended. */
import { Counter, Distribution } from '@cranberryturn/metrics';
import { sleep, type TimerSubscription } from '@cranberryturn/timers';
import type {
  JobId,
  Milliseconds,
  RunEnd,
  StillRun,
  TargetId,
} from '@cranberryturn/types';
import type { Connection } from '@cranberryturn/wire';

import {
  type ActiveJob,
  type ActiveTask,
  computeChain,
  createActiveJob,
  listTasksByWorker,
  TaskPhase,
} from './active-job.js';
import { askWaitingBack } from './ask-waiting-back.js';
import { computeObjective } from './decide-job.js';
import { countEnd, describeJob, refuse, settled } from './describe-end.js';
import { findJobRefusal } from './find-job-refusal.js';
import { JobBook } from './job-book.js';
import type { KnownWorker } from './known-worker.js';
import { RunTimeEstimates } from './run-time-estimates.js';
import { RunTracker } from './run-tracker.js';
import { settleTime, SuspensionPause } from './suspension-pause.js';
import { takeRunEnd } from './take-run-end.js';
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

const replaceInterval: Milliseconds = 20;
const stopPoll: Milliseconds = 20;
/** Another dispatcher takes the job at once. */
const stopRetry: Milliseconds = 500;

/** The transient jobs of one dispatcher. */
export class TransientJobs {
  readonly workers: WorkerDirectory;
  readonly #options: TransientJobsOptions;
  readonly #jobs: JobBook;
  readonly #runs = new RunTracker();
  readonly #estimates = new RunTimeEstimates();
  readonly #placer: TaskPlacer;
  readonly #pause: SuspensionPause;
  #stopping = false;
  /** Set while tasks wait for a worker. */
  #replacement: TimerSubscription | undefined;

  constructor(options: TransientJobsOptions) {
    this.#options = options;
    this.#jobs = new JobBook(options.timers);
    this.#pause = new SuspensionPause(options.timers, options.logger);
    this.workers = new WorkerDirectory({
      ...options,
      runEnded: (workerId, end) => {
        this.#noteEnd(workerId, end);
      },
      runsStill: (known, runs) => {
        this.#noteStill(known, runs);
      },
      workerLost: workerId => {
        for (const task of this.#runs.takeAll(workerId)) this.#return(task);
      },
      workerFound: () => {
        this.#placeAll();
      },
      loadTold: known => {
        askWaitingBack(known, {
          ...options,
          runs: this.#runs,
          workers: this.workers,
        });
      },
      hasRunsAt: workerId => this.#runs.hasRunsAt(workerId),
    });
    this.#placer = new TaskPlacer({
      ...options,
      workers: this.workers,
      runs: this.#runs,
      estimates: this.#estimates,
    });
  }

  get inFlight(): number {
    return this.#jobs.size;
  }

  isInProgress(jobId: JobId): boolean {
    return this.#jobs.find(jobId) !== undefined;
  }

  accept(connection: Connection): void {
    this.workers.accept(connection);
  }

  /** Whether nothing is placed for a moment, as this process has just been suspended. */
  isPaused(): boolean {
    return this.#pause.isPaused();
  }

  /** Submits a job, or joins it when it is in progress here. */
  submit(job: TransientJob): SubmittedJob {
    const known = this.#jobs.find(job.jobId);
    if (known !== undefined) {
      this.#options.metrics.count(Counter.JobsJoined);
      return this.#describe(known);
    }
    const answer = this.#jobs.findAnswer(job.jobId);
    if (answer !== undefined) return settled(answer);
    const chain = computeChain(job, declared =>
      this.#placer.estimate({ job }, declared),
    );
    const active = createActiveJob(
      job,
      this.#options.timers.now(),
      computeObjective(job.queue, chain),
      this.#jobs.findLastRun(job.jobId),
    );
    const placement = this.#placer.plan(active);
    const refusal = this.#stopping
      ? refuse('this dispatcher stops', stopRetry)
      : findJobRefusal(job, chain, placement, [
          ...this.workers.listWorkers(job.queue.service),
        ]);
    if (refusal !== undefined) return this.#refuse(job, refusal);
    return this.#start(active, placement);
  }

  /** Stops a job; false when it is not in progress here. */
  cancel(jobId: JobId): boolean {
    const active = this.#jobs.find(jobId);
    if (active === undefined) return false;
    this.#end(active, { kind: TransientJobEndKind.Abandoned });
    return true;
  }

  /** Refuses new jobs from now on, and resolves when those in progress have ended or time is over. */
  async stop(grace: Milliseconds): Promise<void> {
    this.#stopping = true;
    const { timers } = this.#options;
    const giveUpAt = timers.now() + grace;
    while (this.#jobs.size > 0 && timers.now() < giveUpAt) {
      await sleep(timers, stopPoll);
    }
    for (const active of this.#jobs.list()) {
      this.#end(active, {
        kind: TransientJobEndKind.GivenUp,
        reason: 'this dispatcher stops',
      });
    }
    this.#replacement?.cancel();
    this.workers.close();
  }

  #describe(active: ActiveJob): SubmittedJob {
    active.callers += 1;
    let left = false;
    return {
      ended: active.ended,
      abandon: () => {
        if (left) return;
        left = true;
        active.callers -= 1;
        if (active.callers > 0) return;
        this.#end(active, { kind: TransientJobEndKind.Abandoned });
      },
    };
  }

  #refuse(job: TransientJob, end: TransientJobEnd): SubmittedJob {
    this.#options.metrics.count(Counter.JobsRefused);
    this.#options.logger.info('job refused', {
      ...describeJob(job),
      ...end,
      heldMilliseconds: Math.round(job.heldMilliseconds),
    });
    return settled(end);
  }

  #start(active: ActiveJob, placement: Placement): SubmittedJob {
    const { metrics, logger, timers } = this.#options;
    const { job } = active;
    this.#jobs.add(active);
    metrics.count(Counter.JobsAdmitted);
    logger.info('job admitted', {
      ...describeJob(job),
      tasks: active.tasks.length,
      heldMilliseconds: Math.round(job.heldMilliseconds),
      waitMilliseconds: Math.round(placement.wait),
      dueMilliseconds: Math.round(active.dueAt - active.admittedAt),
    });
    active.expiry = timers.after(active.deadlineAt - timers.now(), () => {
      this.#end(active, { kind: TransientJobEndKind.TimedOut });
    });
    this.#placer.apply(active, placement);
    return this.#describe(active);
  }

  #noteEnd(workerId: TargetId, end: RunEnd): void {
    const task = this.#runs.take(workerId, end);
    if (task === undefined) return;
    task.workerId = undefined;
    if (task.job.end !== undefined) return;
    const jobEnd = takeRunEnd(
      {
        ...this.#options,
        estimates: this.#estimates,
        known: this.workers.find(workerId),
      },
      task,
      workerId,
      end,
    );
    if (jobEnd !== undefined) this.#end(task.job, jobEnd);
    else this.#place(task.job);
  }

  /** Stops runs that stand still where another worker can take them; they are placed again once they have ended. */
  #noteStill(known: KnownWorker, runs: readonly StillRun[]): void {
    for (const still of runs) {
      const task = this.#runs.find(known.workerId, still);
      if (task === undefined || task.job.end !== undefined) continue;
      if (!this.#placer.hasOtherWorker(task)) continue;
      this.#options.logger.info('run that stands still is stopped', {
        requestId: task.job.job.requestId,
        worker: known.workerId,
        ...still,
      });
      task.excluded.add(known.workerId);
      this.workers.stopRuns(known.workerId, still.jobId, [still.taskId]);
    }
  }

  /** Nothing of the task is at work any more: it is placed again. */
  #return(task: ActiveTask): void {
    task.workerId = undefined;
    if (task.job.end !== undefined) return;
    task.phase = TaskPhase.Waiting;
    this.#place(task.job);
  }

  #placeAll(): void {
    for (const active of this.#jobs.list()) this.#place(active);
  }

  #place(active: ActiveJob): void {
    if (active.end !== undefined) return;
    if (!active.tasks.some(task => task.phase === TaskPhase.Waiting)) return;
    if (this.#pause.isPaused()) {
      this.#placeLater(settleTime);
      return;
    }
    const placement = this.#placer.plan(active);
    this.#placer.apply(active, placement);
    if (!placement.isWhole) this.#placeLater(replaceInterval);
  }

  #placeLater(pause: Milliseconds): void {
    this.#replacement ??= this.#options.timers.after(pause, () => {
      this.#replacement = undefined;
      this.#placeAll();
    });
  }

  #end(active: ActiveJob, end: TransientJobEnd): void {
    if (active.end !== undefined) return;
    const { timers, metrics, logger } = this.#options;
    const { job } = active;
    active.end = end;
    active.expiry?.cancel();
    this.#jobs.end(active, end);
    for (const [workerId, tasks] of listTasksByWorker(active)) {
      this.workers.stopRuns(workerId, job.jobId, tasks);
    }
    const elapsed = timers.now() - active.admittedAt;
    metrics.record(
      Distribution.ResponseMilliseconds,
      elapsed,
      job.queue.service,
    );
    metrics.count(countEnd(end));
    logger.info('job ended', {
      ...describeJob(job),
      ...end,
      elapsedMilliseconds: Math.round(elapsed),
    });
    active.settle(end);
  }
}

/**
 * Decides which jobs are admitted, and gets their tasks placed: by grants of the coordinators where these answer, else
 * by load reports.
 */
import type { Milliseconds } from '@cranberryturn/types';

import { type ActiveJob, TaskPhase } from './active-job.js';
import type { CrashContainment } from './crashes/crash-containment.js';
import { createRefusal, reportAdmission } from './describe-end.js';
import type { DispatcherLinks } from './dispatcher-links.js';
import { type ExpectedPlacement, findJobRefusal } from './find-job-refusal.js';
import type { KnownWorker } from './known-worker.js';
import { PlacementRetry } from './placement-retry.js';
import { ScarcityControl } from './scarcity/scarcity-control.js';
import { listCapacityRequests } from './shared-queue/list-capacity-requests.js';
import { SharedQueue } from './shared-queue/shared-queue.js';
import { settleMilliseconds, SuspensionPause } from './suspension-pause.js';
import type { Placement, TaskPlacer } from './task-placer.js';
import type { TransientJobEnd } from './transient-job.js';
import type { TransientJobsOptions } from './transient-jobs-options.js';
import type { WorkerDirectory } from './worker-directory.js';

const placementRetryMilliseconds: Milliseconds = 20;
/** Retry time sent to the caller of a job that waited in vain: the workers are far beyond their capacity. */
const expiredRetryMilliseconds: Milliseconds = 1_000;
/** The placement of a job whose capacity is requested: its wait is not known before the answer. */
const requestedPlacement: ExpectedPlacement = {
  longestWaitMilliseconds: 0,
  isComplete: true,
};

/** Dependencies of the starter, and what it needs of the jobs in progress. */
export interface JobStarterOptions extends TransientJobsOptions {
  readonly workers: WorkerDirectory;
  readonly placer: TaskPlacer;
  readonly containment: CrashContainment;
  readonly links: DispatcherLinks;
  readonly listActiveJobs: () => readonly ActiveJob[];
  /** Ends a job that is refused after it was started; none of its tasks was placed. */
  readonly endJob: (active: ActiveJob, end: TransientJobEnd) => void;
}

/** Admits jobs and gets their tasks placed. */
export class JobStarter {
  /** Undefined where each dispatcher places its tasks by load reports. */
  readonly sharedQueue: SharedQueue | undefined;
  readonly #options: JobStarterOptions;
  readonly #suspensionPause: SuspensionPause;
  readonly #retry: PlacementRetry;
  /** Undefined where admission under scarcity is disabled. */
  readonly #scarcity: ScarcityControl | undefined;

  constructor(options: JobStarterOptions) {
    const { timers, logger, scarcity } = options;
    this.#options = options;
    this.#suspensionPause = new SuspensionPause(timers, logger);
    this.#retry = new PlacementRetry(timers, () => {
      this.placeAllJobs();
    });
    this.#scarcity = scarcity && new ScarcityControl({ ...options, scarcity });
    this.sharedQueue = this.#createSharedQueue();
  }

  /** Whether placement is paused because this process has just resumed from a suspension. */
  isPaused(): boolean {
    return this.#suspensionPause.isPaused();
  }

  /** Plans a new job without starting it. Undefined where its capacity is to be requested. */
  planJob(active: ActiveJob): Placement | undefined {
    return this.sharedQueue?.isAvailable(active) === true
      ? undefined
      : this.#options.placer.planJob(active);
  }

  /** The end of a job that is refused; undefined admits the job, or lets its coordinator decide. */
  findRefusal(
    active: ActiveJob,
    placement: ExpectedPlacement = requestedPlacement,
  ): TransientJobEnd | undefined {
    const { workers, containment } = this.#options;
    const { queue } = active.job;
    return findJobRefusal(
      active,
      placement,
      [...workers.listWorkers(queue.service)],
      this.#scarcity,
      containment.countConfinedHosts(queue),
    );
  }

  /** Starts a new job as it was planned. */
  start(active: ActiveJob, placement: Placement | undefined): void {
    if (placement === undefined) {
      this.placeTasks(active);
      return;
    }
    this.#admit(active, placement.longestWaitMilliseconds);
    this.#options.placer.apply(active, placement);
  }

  /** Places the waiting tasks of all jobs. */
  placeAllJobs(): void {
    for (const active of this.#options.listActiveJobs())
      this.placeTasks(active);
  }

  /** Places the waiting tasks of a job, or requests capacity for them. */
  placeTasks(active: ActiveJob): void {
    if (!hasWaitingTasks(active)) return;
    if (this.#suspensionPause.isPaused()) {
      this.#retry.schedule(settleMilliseconds);
      return;
    }
    if (this.sharedQueue !== undefined) {
      for (const requested of listCapacityRequests(active, this.#options))
        this.sharedQueue.request(requested);
    }
    this.#placeByReports(active);
  }

  /** Uses capacity that a worker has reported free. */
  workerReported(known: KnownWorker): void {
    this.sharedQueue?.workerReported(known);
  }

  /** Withdraws the requests of a job that has ended. */
  withdraw(active: ActiveJob): void {
    this.sharedQueue?.withdraw(active);
  }

  close(): void {
    this.#retry.cancel();
    this.sharedQueue?.close();
  }

  #createSharedQueue(): SharedQueue | undefined {
    const { sharedQueue, scarcity, placer, timers } = this.#options;
    if (sharedQueue === false || scarcity !== undefined) return undefined;
    return new SharedQueue({
      ...this.#options,
      granted: (requested, tasks, known, grant) => {
        placer.placeGranted(requested, tasks, known, grant);
      },
      accepted: ({ active }, waitMilliseconds) => {
        this.#admit(active, waitMilliseconds);
      },
      refused: ({ active }, longestWaitMilliseconds) => {
        const placement = { isComplete: true, longestWaitMilliseconds };
        const refusal = this.findRefusal(active, placement);
        if (refusal === undefined) this.#placeByReports(active);
        else this.#options.endJob(active, refusal);
      },
      expired: active => {
        const waited = timers.now() - active.admittedAt;
        const reason = `no capacity was free for ${waited.toFixed(0)} ms, and the job would end too late to be of use`;
        this.#options.endJob(
          active,
          createRefusal(reason, expiredRetryMilliseconds),
        );
      },
      returned: active => {
        if (this.#suspensionPause.isPaused()) this.placeTasks(active);
        else this.#placeByReports(active);
      },
      mayPlace: () => !this.#suspensionPause.isPaused(),
    });
  }

  #admit(active: ActiveJob, waitMilliseconds: Milliseconds): void {
    if (active.isAdmitted) return;
    active.isAdmitted = true;
    reportAdmission(this.#options, active, waitMilliseconds);
  }

  /** Places the tasks that wait without a request for capacity. */
  #placeByReports(active: ActiveJob): void {
    if (!hasWaitingTasks(active)) return;
    const { placer, endJob } = this.#options;
    const placement = placer.planJob(active);
    const refusal = active.isAdmitted
      ? undefined
      : this.findRefusal(active, placement);
    if (refusal !== undefined) {
      endJob(active, refusal);
      return;
    }
    this.#admit(active, placement.longestWaitMilliseconds);
    placer.apply(active, placement);
    if (!placement.isComplete) this.#retry.schedule(placementRetryMilliseconds);
  }
}

function hasWaitingTasks({ end, tasks }: ActiveJob): boolean {
  return (
    end === undefined && tasks.some(({ phase }) => phase === TaskPhase.Waiting)
  );
}

/** Creates the scheduler of one dispatcher. */
import {
  type BorrowReply,
  type BorrowRequest,
  type JobRefusal,
  ShareLedger,
  type SharingDispatchers,
} from '@cranberryturn/admission';
import type { TargetEntry } from '@cranberryturn/placement';
import { createRandomSource } from '@cranberryturn/random';
import type { TimerSubscription } from '@cranberryturn/timers';
import {
  type AttemptResult,
  type ClusterConfiguration,
  emptyConfiguration,
  type JobId,
  type JobRequest,
  type TargetIdentity,
  type TargetLoad,
  type TargetRecord,
  TargetState,
} from '@cranberryturn/types';
import type { Result } from 'neverthrow';

import { type ActiveAttempt, countWaitingTask } from './active-work.js';
import { admitJob } from './admit-job.js';
import { applyConfiguration, applyShares } from './apply-configuration.js';
import { createCancelBatcher } from './cancel-batcher.js';
import { endAttempt } from './end-attempts.js';
import { endJob, removeJob } from './end-jobs.js';
import { placeTasks } from './place-tasks.js';
import type {
  JobOwnership,
  Scheduler,
  SchedulerStatus,
  TaskPlan,
} from './ports/scheduler.js';
import {
  findOrCreatePool,
  findTarget,
  type SchedulerContext,
  type SchedulerOptions,
} from './scheduler-context.js';
import {
  changeTargetState,
  removeLostTarget,
  registerTarget,
  applyLoadReport,
} from './change-targets.js';
import { describeStatus } from './describe-status.js';
import { startJob } from './start-job.js';
import {
  watchIntervalMilliseconds,
  watchRunningTasks,
} from './watch-running-tasks.js';

/** A scheduler that shares limits with the schedulers of other dispatchers. */
export interface SharingScheduler extends Scheduler {
  /** Answers the request of another dispatcher for units of limits. */
  lendShares(request: BorrowRequest): BorrowReply;
  /** Control confirmed that this dispatcher is a member, which renews the lease of its allocations. */
  confirmMembership(): void;
}

/** Creates a scheduler, which runs timers until `stop`. */
export function createScheduler(options: SchedulerOptions): SharingScheduler {
  return new DispatcherScheduler(options);
}

class DispatcherScheduler implements SharingScheduler {
  readonly #context: SchedulerContext;
  readonly #watchTimer: TimerSubscription;

  constructor(options: SchedulerOptions) {
    const { timers, sender } = options;
    this.#context = {
      options,
      random: createRandomSource(options.seed),
      cancelBatcher: createCancelBatcher(timers, sender),
      ledger: new ShareLedger({
        dispatcherId: options.dispatcherId,
        timers,
        exchange: options.shareExchange,
        membershipLeaseMilliseconds: options.membershipLeaseMilliseconds,
      }),
      jobs: new Map(),
      pools: new Map(),
      teams: new Map(),
      targets: new Map(),
      attempts: new Map(),
      usageHistories: new Map(),
      abandonedAttempts: new Set(),
      configuration: emptyConfiguration,
      dispatchers: 1,
    };
    this.#watchTimer = timers.every(watchIntervalMilliseconds, () => {
      applyShares(this.#context);
      watchRunningTasks(this.#context);
    });
  }

  admitJob(job: JobRequest, requestId?: string): Result<void, JobRefusal> {
    return admitJob(this.#context, job, requestId);
  }

  releaseAdmission(jobId: JobId): void {
    const job = this.#context.jobs.get(jobId);
    if (job === undefined || job.ownership !== undefined) return;
    for (const task of job.openTasks.values()) countWaitingTask(task, -1);
    removeJob(this.#context, job);
  }

  startJob(
    jobId: JobId,
    ownership: JobOwnership,
    plans: readonly TaskPlan[],
  ): void {
    const job = this.#context.jobs.get(jobId);
    if (job === undefined || job.ownership !== undefined) return;
    startJob(this.#context, job, ownership, plans);
  }

  cancelJob(jobId: JobId, reason: string): void {
    const job = this.#context.jobs.get(jobId);
    if (job === undefined) return;
    endJob(this.#context, job, reason);
    placeTasks(this.#context, job.pool);
  }

  targetRegistered(record: TargetRecord, load: TargetLoad): void {
    registerTarget(this.#context, record, load);
  }

  targetLoadReported(target: TargetIdentity, load: TargetLoad): void {
    const entry = findTarget(this.#context, target);
    if (entry !== undefined) applyLoadReport(this.#context, entry, load);
  }

  targetSuspected(target: TargetIdentity): void {
    const entry = findTarget(this.#context, target);
    if (entry?.state !== TargetState.Active) return;
    changeTargetState(this.#context, entry, TargetState.Suspected);
  }

  targetResumed(target: TargetIdentity): void {
    const entry = findTarget(this.#context, target);
    if (entry?.state !== TargetState.Suspected) return;
    changeTargetState(this.#context, entry, TargetState.Active);
    this.#placeTasksOfService(entry);
  }

  targetLost(target: TargetIdentity): void {
    const entry = findTarget(this.#context, target);
    if (entry === undefined) return;
    removeLostTarget(this.#context, entry);
    this.#placeTasksOfService(entry);
  }

  attemptEnded(
    target: TargetIdentity,
    result: AttemptResult,
    load?: TargetLoad,
  ): void {
    const entry = findTarget(this.#context, target);
    if (entry === undefined) return;
    for (const attempt of this.#context.attempts.get(entry) ?? []) {
      if (!isResultOf(attempt, result)) continue;
      endAttempt(this.#context, attempt, result, load);
      break;
    }
    this.#placeTasksOfService(entry);
  }

  applyConfiguration(
    configuration: ClusterConfiguration,
    sharing: SharingDispatchers,
  ): void {
    applyConfiguration(this.#context, configuration, sharing);
  }

  lendShares(request: BorrowRequest): BorrowReply {
    const reply = this.#context.ledger.lend(request);
    applyShares(this.#context);
    return reply;
  }

  confirmMembership(): void {
    this.#context.ledger.confirmMembership();
  }

  status(): SchedulerStatus {
    return describeStatus(this.#context);
  }

  stop(): void {
    this.#watchTimer.cancel();
    this.#context.ledger.stop();
    this.#context.cancelBatcher.stop();
    for (const job of this.#context.jobs.values()) {
      job.deadlineTimer?.cancel();
      for (const task of job.openTasks.values()) task.backoffTimer?.cancel();
    }
  }

  #placeTasksOfService(entry: TargetEntry): void {
    placeTasks(
      this.#context,
      findOrCreatePool(this.#context, entry.record.service),
    );
  }
}

function isResultOf(attempt: ActiveAttempt, result: AttemptResult): boolean {
  return (
    attempt.number === result.attempt &&
    attempt.epoch === result.epoch &&
    attempt.task.request.taskId === result.taskId &&
    attempt.task.job.request.jobId === result.jobId
  );
}

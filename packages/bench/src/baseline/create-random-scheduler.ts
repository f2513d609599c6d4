/** The baseline for comparisons with the product: each task is sent to a random target at once. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import {
  type JobOwnership,
  type Scheduler,
  type SchedulerOptions,
  type SchedulerStatus,
  type TaskOutcome,
  TaskOutcomeKind,
  type TaskPlan,
  TaskPlanKind,
} from '@cranberryturn/scheduling';
import type { TimerSubscription } from '@cranberryturn/timers';
import {
  type AttemptKey,
  AttemptOutcome,
  type AttemptResult,
  DecisionKind,
  type JobId,
  type JobRequest,
  type Milliseconds,
  type TargetIdentity,
  type TargetRecord,
  TargetState,
  type TaskRequest,
} from '@cranberryturn/types';
import { ok, type Result } from 'neverthrow';

interface BaselineJob {
  readonly request: JobRequest;
  readonly deadline: Milliseconds;
  epoch: number;
  readonly openTasks: Map<string, BaselineTask>;
  expiry: TimerSubscription | undefined;
}

interface BaselineTask {
  readonly job: BaselineJob;
  readonly task: TaskRequest;
  attempt: number;
  target: TargetRecord | undefined;
}

/** Delay before a task is placed again after an attempt that did not start or while no target is registered. */
const placementRetryMilliseconds: Milliseconds = 20;

/** Creates the baseline scheduler. It ignores load, health, limits and suspected targets, and retries only attempts that did not start. */
export function createRandomScheduler(options: SchedulerOptions): Scheduler {
  return new RandomScheduler(options);
}

class RandomScheduler implements Scheduler {
  readonly #options: SchedulerOptions;
  readonly #random: RandomSource;
  readonly #jobs = new Map<JobId, BaselineJob>();
  #targets: TargetRecord[] = [];

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.#random = createRandomSource(options.seed);
  }

  admitJob(request: JobRequest): Result<void, never> {
    const deadline = this.#options.timers.now() + request.deadlineMilliseconds;
    const job = {
      request,
      deadline,
      epoch: 0,
      openTasks: new Map(),
      expiry: undefined,
    };
    this.#jobs.set(request.jobId, job);
    return ok(undefined);
  }

  releaseAdmission(jobId: JobId): void {
    this.#jobs.delete(jobId);
  }

  startJob(
    jobId: JobId,
    ownership: JobOwnership,
    plans: readonly TaskPlan[],
  ): void {
    const job = this.#jobs.get(jobId);
    if (job === undefined) return;
    job.epoch = ownership.epoch;
    job.expiry = this.#options.timers.after(
      job.deadline - this.#options.timers.now(),
      () => {
        this.cancelJob(jobId, 'The deadline passed.');
      },
    );
    for (const plan of plans) this.#startTask(job, plan);
  }

  cancelJob(jobId: JobId, reason: string): void {
    for (const task of [...(this.#jobs.get(jobId)?.openTasks.values() ?? [])]) {
      if (task.target === undefined) {
        this.#endTask(task, { kind: TaskOutcomeKind.NotStarted, reason });
        continue;
      }
      const keys = [createAttemptKey(task)];
      this.#options.sender.cancelAttempts(task.target, keys, reason);
      this.#endTask(task, { kind: TaskOutcomeKind.Unknown, reason });
    }
  }

  targetRegistered(record: TargetRecord): void {
    this.#targets = [...this.#targets, record];
  }

  targetLost(target: TargetIdentity): void {
    this.#targets = this.#targets.filter(
      one => !isSameIncarnation(one, target),
    );
    const reason = `Target ${target.targetId} was lost while it ran the task.`;
    for (const job of this.#jobs.values()) {
      for (const task of [...job.openTasks.values()]) {
        if (
          task.target === undefined ||
          !isSameIncarnation(task.target, target)
        ) {
          continue;
        }
        this.#endTask(task, { kind: TaskOutcomeKind.Unknown, reason });
      }
    }
  }

  attemptEnded(target: TargetIdentity, result: AttemptResult): void {
    const task = this.#jobs.get(result.jobId)?.openTasks.get(result.taskId);
    if (task?.target === undefined || task.attempt !== result.attempt) return;
    if (!isSameIncarnation(task.target, target)) return;
    switch (result.outcome) {
      case AttemptOutcome.Answered:
        this.#endTask(task, {
          kind: TaskOutcomeKind.Answered,
          answer: result.answer,
        });
        return;
      case AttemptOutcome.Failed:
        this.#endTask(task, {
          kind: TaskOutcomeKind.Failed,
          reason: result.reason,
        });
        return;
      case AttemptOutcome.NotStarted:
        this.#retryPlacement(task);
        return;
    }
  }

  status(): SchedulerStatus {
    const tasks = [...this.#jobs.values()].flatMap(job => [
      ...job.openTasks.values(),
    ]);
    const running = tasks.filter(task => task.target !== undefined).length;
    return {
      queuedTasks: tasks.length - running,
      runningTasks: running,
      targets: this.#targets.map(({ targetId }) => ({
        targetId,
        state: TargetState.Active,
        runningAttempts: 0,
        isEjected: false,
      })),
    };
  }

  stop(): void {
    for (const job of this.#jobs.values()) job.expiry?.cancel();
  }

  targetLoadReported(): void {
    // The baseline ignores load.
  }

  targetSuspected(): void {
    // The baseline ignores suspected targets.
  }

  targetResumed(): void {
    // The baseline ignores suspected targets.
  }

  applyConfiguration(): void {
    // The baseline ignores limits.
  }

  #startTask(job: BaselineJob, plan: TaskPlan): void {
    const taskId =
      plan.kind === TaskPlanKind.Place ? plan.taskId : plan.attempt.taskId;
    const request = job.request.tasks.find(one => one.taskId === taskId);
    if (request === undefined) return;
    const task = { job, task: request, attempt: 0, target: undefined };
    job.openTasks.set(taskId, task);
    if (plan.kind === TaskPlanKind.Place) this.#place(task);
  }

  #place(task: BaselineTask): void {
    const target = this.#targets[this.#random.below(this.#targets.length)];
    if (target === undefined) {
      this.#retryPlacement(task);
      return;
    }
    task.attempt += 1;
    task.target = target;
    const { request, deadline } = task.job;
    const key = createAttemptKey(task);
    this.#options.decisions({
      kind: DecisionKind.Placed,
      ...key,
      target: target.targetId,
      reason: 'random',
      candidates: this.#targets.length,
    });
    this.#options.sender.startAttempt(target, {
      ...key,
      service: request.service,
      dispatcher: this.#options.dispatcherId,
      payload: task.task.payload,
      declared: task.task.declared,
      idempotent: request.idempotent,
      remainingMilliseconds: deadline - this.#options.timers.now(),
    });
  }

  #retryPlacement(task: BaselineTask): void {
    task.target = undefined;
    this.#options.timers.after(placementRetryMilliseconds, () => {
      if (task.job.openTasks.get(task.task.taskId) === task) this.#place(task);
    });
  }

  #endTask(task: BaselineTask, outcome: TaskOutcome): void {
    const { job } = task;
    const { jobId } = job.request;
    job.openTasks.delete(task.task.taskId);
    if (job.openTasks.size === 0) {
      job.expiry?.cancel();
      this.#jobs.delete(jobId);
    }
    this.#options.observer.taskEnded(jobId, task.task.taskId, outcome);
  }
}

function createAttemptKey(task: BaselineTask): AttemptKey {
  return {
    jobId: task.job.request.jobId,
    taskId: task.task.taskId,
    attempt: task.attempt,
    epoch: task.job.epoch,
  };
}

function isSameIncarnation(
  left: TargetIdentity,
  right: TargetIdentity,
): boolean {
  return (
    left.targetId === right.targetId && left.incarnation === right.incarnation
  );
}

/** The baseline that the product is compared with: each task goes at once to a random target. */
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
  readonly open: Map<string, BaselineTask>;
  expiry: TimerSubscription | undefined;
}

interface BaselineTask {
  readonly job: BaselineJob;
  readonly task: TaskRequest;
  attempt: number;
  target: TargetRecord | undefined;
}

const retryMilliseconds: Milliseconds = 20;

/** Creates the baseline scheduler. It looks at neither load nor health. */
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
      open: new Map(),
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
    for (const task of [...(this.#jobs.get(jobId)?.open.values() ?? [])]) {
      if (task.target === undefined) {
        this.#end(task, { kind: TaskOutcomeKind.NotStarted, reason });
        continue;
      }
      const keys = [describeAttempt(task)];
      this.#options.sender.cancelAttempts(task.target, keys, reason);
      this.#end(task, { kind: TaskOutcomeKind.Unknown, reason });
    }
  }

  targetRegistered(record: TargetRecord): void {
    this.#targets = [...this.#targets, record];
  }

  targetLost(target: TargetIdentity): void {
    this.#targets = this.#targets.filter(one => !isSameRun(one, target));
    const reason = `Target ${target.targetId} was lost while it ran the task.`;
    for (const job of this.#jobs.values()) {
      for (const task of [...job.open.values()]) {
        if (task.target === undefined || !isSameRun(task.target, target)) {
          continue;
        }
        this.#end(task, { kind: TaskOutcomeKind.Unknown, reason });
      }
    }
  }

  attemptEnded(target: TargetIdentity, result: AttemptResult): void {
    const task = this.#jobs.get(result.jobId)?.open.get(result.taskId);
    if (task?.target === undefined || task.attempt !== result.attempt) return;
    if (!isSameRun(task.target, target)) return;
    switch (result.outcome) {
      case AttemptOutcome.Answered:
        this.#end(task, {
          kind: TaskOutcomeKind.Answered,
          answer: result.answer,
        });
        return;
      case AttemptOutcome.Failed:
        this.#end(task, {
          kind: TaskOutcomeKind.Failed,
          reason: result.reason,
        });
        return;
      case AttemptOutcome.NotStarted:
        this.#placeLater(task);
        return;
    }
  }

  status(): SchedulerStatus {
    const tasks = [...this.#jobs.values()].flatMap(job => [
      ...job.open.values(),
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
    // Load is not looked at.
  }

  targetSuspected(): void {
    // Silence is not looked at.
  }

  targetResumed(): void {
    // Silence is not looked at.
  }

  applyConfiguration(): void {
    // Limits are not looked at.
  }

  #startTask(job: BaselineJob, plan: TaskPlan): void {
    const taskId =
      plan.kind === TaskPlanKind.Place ? plan.taskId : plan.attempt.taskId;
    const request = job.request.tasks.find(one => one.taskId === taskId);
    if (request === undefined) return;
    const task = { job, task: request, attempt: 0, target: undefined };
    job.open.set(taskId, task);
    if (plan.kind === TaskPlanKind.Place) this.#place(task);
  }

  #place(task: BaselineTask): void {
    const target = this.#targets[this.#random.below(this.#targets.length)];
    if (target === undefined) {
      this.#placeLater(task);
      return;
    }
    task.attempt += 1;
    task.target = target;
    const { request, deadline } = task.job;
    const key = describeAttempt(task);
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

  #placeLater(task: BaselineTask): void {
    task.target = undefined;
    this.#options.timers.after(retryMilliseconds, () => {
      if (task.job.open.get(task.task.taskId) === task) this.#place(task);
    });
  }

  #end(task: BaselineTask, fate: TaskOutcome): void {
    const { job } = task;
    const { jobId } = job.request;
    job.open.delete(task.task.taskId);
    if (job.open.size === 0) {
      job.expiry?.cancel();
      this.#jobs.delete(jobId);
    }
    this.#options.observer.taskEnded(jobId, task.task.taskId, fate);
  }
}

function describeAttempt(task: BaselineTask): AttemptKey {
  return {
    jobId: task.job.request.jobId,
    taskId: task.task.taskId,
    attempt: task.attempt,
    epoch: task.job.epoch,
  };
}

function isSameRun(left: TargetIdentity, right: TargetIdentity): boolean {
  return (
    left.targetId === right.targetId && left.incarnation === right.incarnation
  );
}

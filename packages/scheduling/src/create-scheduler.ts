import type { TimerService } from '@cranberryturn/timers';
import {
  type AttemptKey,
  AttemptOutcome,
  type AttemptResult,
  DecisionKind,
  type DecisionSink,
  type DispatcherId,
  type JobId,
  type JobRequest,
  type Milliseconds,
  type TargetIdentity,
  type TargetLoad,
  type TargetRecord,
  TargetState,
} from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import {
  type ActiveJob,
  type ActiveTarget,
  type ActiveTask,
  describeFate,
  describeRun,
  leastLoaded,
} from './active-work.js';
import {
  type AttemptSender,
  type JobOwnership,
  type JobRefusal,
  RefusalKind,
  type Scheduler,
  type SchedulerStatus,
  type TaskFate,
  TaskFateKind,
  type TaskObserver,
  type TaskPlan,
  TaskPlanKind,
} from './ports/scheduler.js';

/** What a scheduler is built from. */
export interface SchedulerOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  readonly seed: number;
  readonly sender: AttemptSender;
  readonly observer: TaskObserver;
  readonly decisions: DecisionSink;
}

const noTargetRetryMilliseconds: Milliseconds = 1_000;

/** Creates the scheduler of one dispatcher. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  return new BasicScheduler(options);
}

class BasicScheduler implements Scheduler {
  readonly #options: SchedulerOptions;
  readonly #jobs = new Map<JobId, ActiveJob>();
  readonly #targets = new Map<string, ActiveTarget>();
  #queue: ActiveTask[] = [];

  constructor(options: SchedulerOptions) {
    this.#options = options;
  }

  admitJob(job: JobRequest): Result<void, JobRefusal> {
    const known = [...this.#targets.values()].some(
      target => target.record.service === job.service,
    );
    if (!known) {
      return err({
        kind: RefusalKind.NoTarget,
        reason: `No target of service "${job.service}" is connected; try again later.`,
        retryAfterMilliseconds: noTargetRetryMilliseconds,
      });
    }
    const deadline = this.#options.timers.now() + job.deadlineMilliseconds;
    this.#jobs.set(job.jobId, {
      request: job,
      deadline,
      ownership: { epoch: 0, registeredUpTo: undefined },
      open: new Map(),
      expiry: undefined,
    });
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
    job.ownership = ownership;
    for (const plan of plans) this.#addTask(job, plan);
    const remaining = job.deadline - this.#options.timers.now();
    job.expiry = this.#options.timers.after(remaining, () => {
      this.cancelJob(jobId, 'The deadline passed.');
    });
    this.#place();
  }

  cancelJob(jobId: JobId, reason: string): void {
    const job = this.#jobs.get(jobId);
    if (job === undefined) return;
    this.#queue = this.#queue.filter(task => task.job !== job);
    for (const task of [...job.open.values()]) {
      if (task.target === undefined) {
        this.#end(task, { kind: TaskFateKind.NotStarted, reason });
        continue;
      }
      const keys = [this.#keyOf(task)];
      this.#options.sender.cancelAttempts(task.target.record, keys, reason);
      this.#end(task, { kind: TaskFateKind.Unknown, reason });
    }
  }

  targetRegistered(record: TargetRecord, load: TargetLoad): void {
    this.#targets.set(describeRun(record), {
      record,
      load,
      state: TargetState.Active,
      running: new Set(),
    });
    this.#place();
  }

  targetLoadReported(target: TargetIdentity, load: TargetLoad): void {
    const known = this.#targets.get(describeRun(target));
    if (known === undefined) return;
    known.load = load;
    this.#place();
  }

  targetSuspected(target: TargetIdentity): void {
    this.#changeState(target, TargetState.Suspected);
  }

  targetResumed(target: TargetIdentity): void {
    this.#changeState(target, TargetState.Active);
    this.#place();
  }

  targetLost(target: TargetIdentity): void {
    const known = this.#targets.get(describeRun(target));
    if (known === undefined) return;
    this.#targets.delete(describeRun(target));
    const reason = `Target ${target.targetId} was lost while it ran the task.`;
    for (const task of [...known.running]) {
      this.#end(task, { kind: TaskFateKind.Unknown, reason });
    }
  }

  attemptEnded(target: TargetIdentity, result: AttemptResult): void {
    const task = this.#jobs.get(result.jobId)?.open.get(result.taskId);
    if (task?.target === undefined || task.attempt !== result.attempt) return;
    if (describeRun(task.target.record) !== describeRun(target)) return;
    if (result.outcome === AttemptOutcome.NotStarted) {
      task.target.running.delete(task);
      task.target = undefined;
      this.#queue.unshift(task);
    } else {
      this.#end(task, describeFate(result));
    }
    this.#place();
  }

  applyConfiguration(): void {
    this.#place();
  }

  status(): SchedulerStatus {
    const targets = [...this.#targets.values()];
    return {
      queuedTasks: this.#queue.length,
      runningTasks: targets.reduce((sum, one) => sum + one.running.size, 0),
      targets: targets.map(one => ({
        targetId: one.record.targetId,
        state: one.state,
        runningHere: one.running.size,
        ejected: false,
      })),
    };
  }

  stop(): void {
    for (const job of this.#jobs.values()) job.expiry?.cancel();
  }

  #changeState(target: TargetIdentity, state: TargetState): void {
    const known = this.#targets.get(describeRun(target));
    if (known !== undefined) known.state = state;
  }

  #addTask(job: ActiveJob, plan: TaskPlan): void {
    const taskId =
      plan.kind === TaskPlanKind.Place ? plan.taskId : plan.attempt.taskId;
    const request = job.request.tasks.find(one => one.taskId === taskId);
    if (request === undefined) return;
    const task: ActiveTask = {
      job,
      task: request,
      attempt: 0,
      target: undefined,
    };
    job.open.set(taskId, task);
    if (plan.kind === TaskPlanKind.Place) {
      this.#queue.push(task);
      return;
    }
    const target = this.#targets.get(describeRun(plan.target));
    task.attempt = plan.attempt.attempt;
    if (target === undefined) {
      const reason = `Target ${plan.target.targetId} is gone.`;
      this.#end(task, { kind: TaskFateKind.Unknown, reason });
      return;
    }
    task.target = target;
    target.running.add(task);
  }

  #place(): void {
    const waiting: ActiveTask[] = [];
    for (const task of this.#queue) {
      const candidates = this.#candidates(task.job);
      const target = leastLoaded(candidates);
      if (target === undefined) {
        waiting.push(task);
        continue;
      }
      this.#startOn(target, task, candidates.length);
    }
    this.#queue = waiting;
  }

  #candidates(job: ActiveJob): ActiveTarget[] {
    return [...this.#targets.values()].filter(
      target =>
        target.record.service === job.request.service &&
        target.record.registeredAt <=
          (job.ownership.registeredUpTo ?? Infinity) &&
        target.state === TargetState.Active &&
        !target.load.draining &&
        target.running.size < target.record.slots,
    );
  }

  #startOn(target: ActiveTarget, task: ActiveTask, candidates: number): void {
    task.attempt += 1;
    task.target = target;
    target.running.add(task);
    const { request, deadline } = task.job;
    const key = this.#keyOf(task);
    this.#options.decisions({
      kind: DecisionKind.Placed,
      ...key,
      target: target.record.targetId,
      reason: 'most free slots',
      candidates,
    });
    this.#options.sender.startAttempt(target.record, {
      ...key,
      service: request.service,
      dispatcher: this.#options.dispatcherId,
      payload: task.task.payload,
      declared: task.task.declared,
      idempotent: request.idempotent,
      remainingMilliseconds: deadline - this.#options.timers.now(),
    });
  }

  #keyOf(task: ActiveTask): AttemptKey {
    return {
      jobId: task.job.request.jobId,
      taskId: task.task.taskId,
      attempt: task.attempt,
      epoch: task.job.ownership.epoch,
    };
  }

  #end(task: ActiveTask, fate: TaskFate): void {
    const { job } = task;
    const { jobId } = job.request;
    task.target?.running.delete(task);
    job.open.delete(task.task.taskId);
    if (job.open.size === 0) {
      job.expiry?.cancel();
      this.#jobs.delete(jobId);
    }
    this.#options.observer.taskEnded(jobId, task.task.taskId, fate);
  }
}

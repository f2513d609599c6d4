/** Dispatchers for the alternatives to the product's policy. They only place tasks and ignore the health of targets. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import {
  AttemptOutcome,
  type AttemptResult,
  type JobRequest,
  Started,
  type TargetIdentity,
  type TargetLoad,
  type TargetRecord,
  type TaskRequest,
} from '@cranberryturn/types';

import type {
  PolicyDispatcher,
  PolicyFactory,
  PolicyEnvironment,
} from './policy-dispatcher.js';

/** State of a target that a simple policy places by. */
export interface SimpleTarget {
  readonly record: TargetRecord;
  readonly position: number;
  /** Attempts of this dispatcher that have not ended. */
  outstanding: number;
  /** Tasks of other dispatchers at the last load report. */
  otherTasks: number;
  /** Maximum number of outstanding attempts; used by the slot credits policy. */
  credits: number;
}

/** Chooses a target; undefined keeps the task queued in the dispatcher. */
export type ChooseTarget = (
  targets: readonly SimpleTarget[],
  random: RandomSource,
  environment: PolicyEnvironment,
) => SimpleTarget | undefined;

interface SimpleTask {
  readonly job: JobRequest;
  readonly task: TaskRequest;
  attempt: number;
}

/** Creates a policy factory from a function that chooses targets. */
export function createSimplePolicy(choose: ChooseTarget): PolicyFactory {
  return environment => new SimpleDispatcher(environment, choose);
}

class SimpleDispatcher implements PolicyDispatcher {
  readonly #environment: PolicyEnvironment;
  readonly #choose: ChooseTarget;
  readonly #random: RandomSource;
  readonly #targets: SimpleTarget[] = [];
  readonly #running = new Map<string, [SimpleTask, SimpleTarget]>();
  readonly #waiting: SimpleTask[] = [];

  constructor(environment: PolicyEnvironment, choose: ChooseTarget) {
    this.#environment = environment;
    this.#choose = choose;
    this.#random = createRandomSource(environment.seed);
  }

  addTarget(record: TargetRecord): void {
    const position = this.#targets.length;
    const credits = Math.floor(record.slots / this.#environment.dispatchers);
    const target = { record, position, outstanding: 0, otherTasks: 0, credits };
    this.#targets.push(target);
  }

  removeTarget(lost: TargetIdentity): void {
    const position = this.#targets.findIndex(
      one => one.record.targetId === lost.targetId,
    );
    if (position < 0) return;
    this.#targets.splice(position, 1);
    for (const [key, [task, target]] of this.#running) {
      if (target.record.targetId !== lost.targetId) continue;
      this.#running.delete(key);
      this.#reportEnd(task, false);
    }
  }

  submit(job: JobRequest): boolean {
    for (const task of job.tasks) this.#waiting.push({ job, task, attempt: 0 });
    this.#placeWaiting();
    return true;
  }

  /** Drops the queued tasks of the job; running ones continue. */
  cancel(jobId: string): void {
    const dropped = this.#waiting.filter(one => one.job.jobId === jobId);
    for (const task of dropped) {
      this.#waiting.splice(this.#waiting.indexOf(task), 1);
      const { taskId } = task.task;
      this.#environment.taskEnded(jobId, taskId, false, Started.No);
    }
  }

  attemptEnded(
    identity: TargetIdentity,
    result: AttemptResult,
    load: TargetLoad,
    credits: number,
  ): void {
    const found = this.#running.get(formatAttemptKey(result));
    if (found === undefined) return;
    const [task, target] = found;
    this.#running.delete(formatAttemptKey(result));
    target.outstanding -= 1;
    const busy = target.record.slots - load.freeSlots + load.queuedTasks;
    target.otherTasks = Math.max(0, busy - target.outstanding);
    target.credits = credits;
    if (result.outcome === AttemptOutcome.NotStarted)
      this.#waiting.unshift(task);
    else this.#reportEnd(task, result.outcome === AttemptOutcome.Answered);
    this.#placeWaiting();
  }

  creditsGranted(identity: TargetIdentity, credits: number): void {
    const target = this.#targets.find(
      one => one.record.targetId === identity.targetId,
    );
    if (target === undefined) return;
    target.credits = credits;
    this.#placeWaiting();
  }

  stop(): void {
    this.#waiting.length = 0;
  }

  #reportEnd({ job, task }: SimpleTask, answered: boolean): void {
    this.#environment.taskEnded(
      job.jobId,
      task.taskId,
      answered,
      answered ? Started.Yes : Started.Perhaps,
    );
  }

  #placeWaiting(): void {
    for (;;) {
      const next = this.#waiting[0];
      if (next === undefined) return;
      const target = this.#choose(
        this.#targets,
        this.#random,
        this.#environment,
      );
      if (target === undefined) return;
      this.#waiting.shift();
      this.#start(next, target);
    }
  }

  #start(task: SimpleTask, target: SimpleTarget): void {
    task.attempt += 1;
    target.outstanding += 1;
    const key = {
      jobId: task.job.jobId,
      taskId: task.task.taskId,
      attempt: task.attempt,
      epoch: 1,
    };
    this.#running.set(formatAttemptKey(key), [task, target]);
    this.#environment.startAttempt(target.record, {
      ...key,
      service: task.job.service,
      dispatcher: this.#environment.dispatcherId,
      payload: task.task.payload,
      idempotent: task.job.idempotent,
      remainingMilliseconds: task.job.deadlineMilliseconds,
    });
  }
}

function formatAttemptKey(key: {
  readonly jobId: string;
  readonly taskId: string;
  readonly attempt: number;
}): string {
  return `${key.jobId}/${key.taskId}/${String(key.attempt)}`;
}

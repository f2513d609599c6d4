/** Dispatchers with the policies that were weighed and not chosen. They only place; none watches health. */
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
  PolicySurroundings,
} from './policy-dispatcher.js';

/** A target as a simple policy sees it. */
export interface SimpleTarget {
  readonly record: TargetRecord;
  readonly position: number;
  /** Own attempts that have not ended. */
  outstanding: number;
  /** Tasks of others at the last report. */
  othersBusy: number;
  /** Attempts that may be sent; used by slot credits. */
  credits: number;
}

/** Chooses a target, or none to let the task wait in the dispatcher. */
export type ChooseTarget = (
  targets: readonly SimpleTarget[],
  random: RandomSource,
  surroundings: PolicySurroundings,
) => SimpleTarget | undefined;

interface SimpleTask {
  readonly job: JobRequest;
  readonly task: TaskRequest;
  attempt: number;
}

/** Creates the factory of a policy from its choice. */
export function createSimplePolicy(choose: ChooseTarget): PolicyFactory {
  return surroundings => new SimpleDispatcher(surroundings, choose);
}

class SimpleDispatcher implements PolicyDispatcher {
  readonly #surroundings: PolicySurroundings;
  readonly #choose: ChooseTarget;
  readonly #random: RandomSource;
  readonly #targets: SimpleTarget[] = [];
  readonly #running = new Map<string, [SimpleTask, SimpleTarget]>();
  readonly #waiting: SimpleTask[] = [];

  constructor(surroundings: PolicySurroundings, choose: ChooseTarget) {
    this.#surroundings = surroundings;
    this.#choose = choose;
    this.#random = createRandomSource(surroundings.seed);
  }

  addTarget(record: TargetRecord): void {
    const position = this.#targets.length;
    const credits = Math.floor(record.slots / this.#surroundings.dispatchers);
    const target = { record, position, outstanding: 0, othersBusy: 0, credits };
    this.#targets.push(target);
  }

  loseTarget(lost: TargetIdentity): void {
    const at = this.#targets.findIndex(
      one => one.record.targetId === lost.targetId,
    );
    if (at < 0) return;
    this.#targets.splice(at, 1);
    for (const [key, [task, target]] of this.#running) {
      if (target.record.targetId !== lost.targetId) continue;
      this.#running.delete(key);
      this.#report(task, false);
    }
  }

  submit(job: JobRequest): boolean {
    for (const task of job.tasks) this.#waiting.push({ job, task, attempt: 0 });
    this.#placeWaiting();
    return true;
  }

  /** What runs goes on; what waits is dropped. */
  cancel(jobId: string): void {
    const dropped = this.#waiting.filter(one => one.job.jobId === jobId);
    for (const task of dropped) {
      this.#waiting.splice(this.#waiting.indexOf(task), 1);
      const { taskId } = task.task;
      this.#surroundings.taskEnded(jobId, taskId, false, Started.No);
    }
  }

  attemptEnded(
    identity: TargetIdentity,
    result: AttemptResult,
    load: TargetLoad,
    credits: number,
  ): void {
    const found = this.#running.get(describeAttempt(result));
    if (found === undefined) return;
    const [task, target] = found;
    this.#running.delete(describeAttempt(result));
    target.outstanding -= 1;
    const busy = target.record.slots - load.freeSlots + load.queuedTasks;
    target.othersBusy = Math.max(0, busy - target.outstanding);
    target.credits = credits;
    if (result.outcome === AttemptOutcome.NotStarted)
      this.#waiting.unshift(task);
    else this.#report(task, result.outcome === AttemptOutcome.Answered);
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

  #report({ job, task }: SimpleTask, answered: boolean): void {
    this.#surroundings.taskEnded(
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
        this.#surroundings,
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
    this.#running.set(describeAttempt(key), [task, target]);
    this.#surroundings.startAttempt(target.record, {
      ...key,
      service: task.job.service,
      dispatcher: this.#surroundings.dispatcherId,
      payload: task.task.payload,
      idempotent: task.job.idempotent,
      remainingMilliseconds: task.job.deadlineMilliseconds,
    });
  }
}

function describeAttempt(key: {
  readonly jobId: string;
  readonly taskId: string;
  readonly attempt: number;
}): string {
  return `${key.jobId}/${key.taskId}/${String(key.attempt)}`;
}

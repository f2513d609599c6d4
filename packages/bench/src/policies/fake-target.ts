/** Simulates a target and its sidecar: slots, a queue of limited length and a failure behaviour. */
import type { TimerService } from '@cranberryturn/timers';
import {
  type AttemptKey,
  AttemptOutcome,
  type AttemptResult,
  type AttemptStart,
  type Decision,
  DecisionKind,
  type Milliseconds,
  NotStartedReason,
  type TargetLoad,
  type TargetRecord,
} from '@cranberryturn/types';

import { LaggedUsage } from './lagged-usage.js';
import { isFailing, TargetBehaviour } from './target-behaviour.js';

/** A message from a target to a dispatcher; `result` is undefined when only credits are pushed. */
export interface TargetReport {
  readonly result: AttemptResult | undefined;
  readonly load: TargetLoad;
  readonly credits: number;
}

/** Run time and processors that a task needs on its worker. */
export interface TaskDemand {
  readonly runMilliseconds: Milliseconds;
  readonly processors: number;
}

/** Options of a fake target. */
export interface FakeTargetOptions {
  readonly record: TargetRecord;
  readonly timers: TimerService;
  /** Maximum number of attempts that wait for a slot; further ones are refused as busy. */
  readonly queueLimit: number;
  readonly dispatchers: readonly string[];
  /** Whether dispatchers are sent their credits unasked when these change. */
  readonly shouldPushCredits: boolean;
  readonly getDemand: (attempt: AttemptStart) => TaskDemand;
  /** Whether load reports carry the (lagged) resource usage. */
  readonly shouldReportUsage: boolean;
  readonly report: (dispatcher: string, report: TargetReport) => void;
  readonly decisions: (decision: Decision) => void;
}

interface WaitingAttempt {
  readonly attempt: AttemptStart;
  readonly latestStart: Milliseconds;
}

const failureMilliseconds: Milliseconds = 2;
const slowFactor = 10;

/** A simulated target with its sidecar. */
export class FakeTarget {
  readonly record: TargetRecord;
  behaviour = TargetBehaviour.Healthy;
  /** Number of starts by task (`job/task`), to detect double starts. */
  readonly starts = new Map<string, number>();
  readonly #options: FakeTargetOptions;
  readonly #running = new Set<AttemptStart>();
  readonly #waiting: WaitingAttempt[] = [];
  readonly #credits = new Map<string, number>();
  readonly #usage: LaggedUsage;
  #isDead = false;

  constructor(options: FakeTargetOptions) {
    this.#options = options;
    this.record = options.record;
    this.#usage = new LaggedUsage(options.timers);
    for (const dispatcher of options.dispatchers)
      this.#credits.set(dispatcher, this.#countCredits(dispatcher));
  }

  /** Stops all answers, as after a crash. */
  kill(): void {
    this.#isDead = true;
  }

  accept(attempt: AttemptStart): void {
    if (this.#isDead) return;
    const capacity = this.record.slots + this.#options.queueLimit;
    if (this.#running.size + this.#waiting.length >= capacity) {
      const reason = NotStartedReason.Busy;
      this.#endAttempt(attempt, {
        ...getAttemptKey(attempt),
        outcome: AttemptOutcome.NotStarted,
        reason,
      });
      return;
    }
    this.#enqueue(attempt);
    this.#fillSlots();
  }

  cancel(key: AttemptKey): void {
    if (this.#isDead) return;
    const position = this.#waiting.findIndex(one =>
      isSameAttempt(one.attempt, key),
    );
    for (const { attempt } of position < 0
      ? []
      : this.#waiting.splice(position, 1)) {
      const reason = NotStartedReason.Cancelled;
      const outcome = AttemptOutcome.NotStarted;
      this.#endAttempt(attempt, { ...getAttemptKey(attempt), outcome, reason });
    }
    for (const attempt of this.#running) {
      if (!isSameAttempt(attempt, key)) continue;
      this.#running.delete(attempt);
      this.#usage.addProcessors(-this.#options.getDemand(attempt).processors);
      const reason = 'The task was stopped.';
      this.#endAttempt(attempt, {
        ...getAttemptKey(attempt),
        outcome: AttemptOutcome.Failed,
        reason,
        runMilliseconds: 0,
      });
    }
    this.#fillSlots();
  }

  #enqueue(attempt: AttemptStart): void {
    const now = this.#options.timers.now();
    const latestStart = now + (attempt.slackMilliseconds ?? 0);
    const later = this.#waiting.findIndex(one => one.latestStart > latestStart);
    const position = later < 0 ? this.#waiting.length : later;
    this.#waiting.splice(position, 0, { attempt, latestStart });
  }

  #fillSlots(): void {
    while (this.#running.size < this.record.slots) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      this.#startAttempt(next.attempt);
    }
  }

  #startAttempt(attempt: AttemptStart): void {
    const task = `${attempt.jobId}/${attempt.taskId}`;
    this.starts.set(task, (this.starts.get(task) ?? 0) + 1);
    const fails = isFailing(this.behaviour, this.#options.timers.now());
    const run = this.#computeRunTime(attempt, fails);
    this.#running.add(attempt);
    this.#usage.addProcessors(this.#options.getDemand(attempt).processors);
    const { targetId: target, incarnation } = this.record;
    const { idempotent } = attempt;
    this.#options.decisions({
      kind: DecisionKind.Started,
      ...getAttemptKey(attempt),
      target,
      incarnation,
      idempotent,
    });
    this.#options.timers.after(run, () => {
      if (this.#isDead || !this.#running.delete(attempt)) return;
      this.#usage.addProcessors(-this.#options.getDemand(attempt).processors);
      this.#endAttempt(attempt, this.#createResult(attempt, fails, run));
      this.#fillSlots();
      if (this.#options.shouldPushCredits)
        this.#pushCredits(attempt.dispatcher);
    });
  }

  #createResult(
    attempt: AttemptStart,
    fails: boolean,
    runMilliseconds: Milliseconds,
  ): AttemptResult {
    const key = getAttemptKey(attempt);
    if (!fails)
      return {
        ...key,
        outcome: AttemptOutcome.Answered,
        answer: '1',
        runMilliseconds,
      };
    const reason = 'The target failed.';
    return { ...key, outcome: AttemptOutcome.Failed, reason, runMilliseconds };
  }

  #computeRunTime(attempt: AttemptStart, fails: boolean): Milliseconds {
    if (fails) return failureMilliseconds;
    const { runMilliseconds, processors } = this.#options.getDemand(attempt);
    const oversubscription =
      (this.#usage.processors + processors) / this.record.resources.processors;
    const run = runMilliseconds * Math.max(1, oversubscription);
    return this.behaviour === TargetBehaviour.Slow ? run * slowFactor : run;
  }

  #endAttempt(attempt: AttemptStart, result: AttemptResult): void {
    this.#options.decisions({
      kind: DecisionKind.Ended,
      ...getAttemptKey(attempt),
      target: this.record.targetId,
      outcome: result.outcome,
    });
    this.#sendReport(attempt.dispatcher, result);
  }

  #sendReport(dispatcher: string, result: AttemptResult | undefined): void {
    const load: TargetLoad = {
      freeSlots: Math.max(0, this.record.slots - this.#running.size),
      queuedTasks: this.#waiting.length,
      draining: false,
      usage: this.#options.shouldReportUsage
        ? this.#usage.readReported()
        : undefined,
    };
    const credits = this.#countCredits(dispatcher);
    this.#credits.set(dispatcher, credits);
    this.#options.report(dispatcher, { result, load, credits });
  }

  /** Attempts of a dispatcher at this target plus its share of the free slots; the rotation spreads the remainder over the dispatchers. */
  #countCredits(dispatcher: string): number {
    const { dispatchers } = this.#options;
    const free = this.record.slots - this.#running.size - this.#waiting.length;
    let own = 0;
    for (const one of this.#running)
      if (one.dispatcher === dispatcher) own += 1;
    for (const { attempt } of this.#waiting)
      if (attempt.dispatcher === dispatcher) own += 1;
    const position = dispatchers.indexOf(dispatcher);
    const rotatedPosition =
      (position + Number(this.record.targetId.replace(/\D/g, ''))) %
      dispatchers.length;
    const equalShare = Math.floor(Math.max(0, free) / dispatchers.length);
    const remainder =
      rotatedPosition < Math.max(0, free) % dispatchers.length ? 1 : 0;
    return own + equalShare + remainder;
  }

  #pushCredits(except: string): void {
    for (const dispatcher of this.#options.dispatchers) {
      if (dispatcher === except) continue;
      const before = this.#credits.get(dispatcher) ?? 0;
      if (this.#countCredits(dispatcher) !== before)
        this.#sendReport(dispatcher, undefined);
    }
  }
}

function getAttemptKey(attempt: AttemptStart): AttemptKey {
  const { jobId, taskId, epoch } = attempt;
  return { jobId, taskId, attempt: attempt.attempt, epoch };
}

function isSameAttempt(attempt: AttemptStart, key: AttemptKey): boolean {
  return (
    attempt.jobId === key.jobId &&
    attempt.taskId === key.taskId &&
    attempt.attempt === key.attempt
  );
}

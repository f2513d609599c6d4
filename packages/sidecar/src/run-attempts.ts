/** Runs attempts on the target within its slots. */
import type { TimerService } from '@cranberryturn/timers';
import {
  type AttemptKey,
  AttemptOutcome,
  type AttemptResult,
  type AttemptStart,
  DecisionKind,
  type DecisionSink,
  type DispatcherId,
  type Milliseconds,
  NotStartedReason,
  type TargetAnnouncement,
  type TargetLoad,
} from '@cranberryturn/types';

import { isSameAttempt, keyOf } from './attempt-keys.js';
import { type AttemptLedger, StartPermission } from './attempt-ledger.js';
import { DrainState } from './drain-state.js';
import {
  type TargetFailure,
  TargetFailureKind,
  type TargetPort,
} from './ports/target.js';
import type { EndedAttempt } from './remembered-task.js';
import { type WaitingAttempt, WaitingAttempts } from './waiting-attempts.js';

/** What a runner is built from. */
export interface AttemptRunnerOptions {
  readonly announcement: TargetAnnouncement;
  readonly target: TargetPort;
  readonly ledger: AttemptLedger;
  readonly timers: TimerService;
  readonly decisions: DecisionSink;
  /** Number of attempts that may wait for a slot. */
  readonly queueLimit: number;
  /** Hears of each cancellation of an attempt that neither waits nor runs. */
  readonly cancelledLate?: (() => void) | undefined;
  /** Hears how each attempt ended, and which dispatchers to tell. */
  readonly attemptEnded: (
    result: AttemptResult,
    dispatchers: readonly DispatcherId[],
  ) => void;
}

interface RunningAttempt {
  readonly attempt: AttemptStart;
  readonly abort: AbortController;
}

/** Runs attempts. A start that was refused is never run. */
export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;
  readonly #waiting = new WaitingAttempts();
  readonly #running = new Set<RunningAttempt>();
  readonly #drain = new DrainState();
  #slots: number;

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
    this.#slots = options.announcement.slots;
  }

  /** The load to report. */
  get load(): TargetLoad {
    return {
      freeSlots: Math.max(0, this.#slots - this.#running.size),
      queuedTasks: this.#waiting.size,
      draining: this.#drain.isDraining,
    };
  }

  /** Starts an attempt, lets it wait for a slot, or refuses it for good. */
  acceptAttempt(attempt: AttemptStart, requestId: string | undefined): void {
    const refusal = this.#findRefusal(attempt);
    if (refusal !== undefined) {
      this.#refuse(attempt, refusal);
      return;
    }
    this.#waiting.add(attempt, this.#options.timers.now(), requestId);
    this.#fillSlots();
  }

  /** Ends attempts that wait, and stops those that run. */
  cancelAttempts(keys: readonly AttemptKey[], reason: string): void {
    for (const key of keys) this.#cancelAttempt(key, reason);
    this.#fillSlots();
  }

  changeSlots(slots: number): void {
    this.#slots = slots;
    this.#fillSlots();
  }

  /** Refuses new attempts while operators drain the target, or accepts them again. */
  changeDraining(draining: boolean): void {
    if (this.#drain.changeByOperator(draining)) this.#beginLeaving();
  }

  /** Refuses new attempts from now on, whatever operators set. */
  beginStop(): void {
    if (this.#drain.beginStop()) this.#beginLeaving();
  }

  /** Whether an attempt waits or runs here whose result the dispatcher wants. */
  hasWorkFor(dispatcher: DispatcherId): boolean {
    if (this.#waiting.hasAttemptOf(dispatcher)) return true;
    return [...this.#running].some(({ attempt }) =>
      this.#options.ledger.isWatched(attempt.jobId, dispatcher),
    );
  }

  /** Whether no attempt waits or runs. */
  get isIdle(): boolean {
    return this.#waiting.size === 0 && this.#running.size === 0;
  }

  #beginLeaving(): void {
    const { targetId, incarnation } = this.#options.announcement;
    this.#options.decisions({
      kind: DecisionKind.Leaving,
      target: targetId,
      incarnation,
    });
    for (const { attempt } of this.#waiting.takeAll()) {
      this.#refuse(attempt, NotStartedReason.Draining);
    }
  }

  #findRefusal(attempt: AttemptStart): NotStartedReason | undefined {
    if (attempt.service !== this.#options.announcement.service) {
      return NotStartedReason.WrongService;
    }
    if (this.#drain.isDraining) return NotStartedReason.Draining;
    const room = this.#slots + this.#options.queueLimit - this.#running.size;
    if (this.#waiting.size >= room) return NotStartedReason.Busy;
    return undefined;
  }

  #fillSlots(): void {
    while (this.#running.size < this.#slots) {
      const next = this.#waiting.takeNext();
      if (next === undefined) return;
      this.#startAttempt(next);
    }
  }

  #startAttempt(waiting: WaitingAttempt): void {
    const { attempt, requestId } = waiting;
    const waited = this.#options.timers.now() - waiting.received;
    if (waited >= attempt.remainingMilliseconds) {
      this.#refuse(attempt, NotStartedReason.DeadlinePassed);
      return;
    }
    const permission = this.#options.ledger.recordStart(
      attempt,
      attempt.dispatcher,
      attempt.idempotent,
    );
    const refusal = describePermission(permission);
    if (refusal !== undefined) {
      this.#refuse(attempt, refusal);
      return;
    }
    const { targetId, incarnation } = this.#options.announcement;
    this.#options.decisions(
      {
        kind: DecisionKind.Started,
        ...keyOf(attempt),
        target: targetId,
        incarnation,
        idempotent: attempt.idempotent,
      },
      requestId,
    );
    const running: RunningAttempt = {
      attempt: {
        ...attempt,
        remainingMilliseconds: attempt.remainingMilliseconds - waited,
      },
      abort: new AbortController(),
    };
    this.#running.add(running);
    void this.#runAttempt(running);
  }

  async #runAttempt(running: RunningAttempt): Promise<void> {
    const { attempt, abort } = running;
    const { timers, target } = this.#options;
    const started = timers.now();
    const answer = await target.runAttempt(attempt, abort.signal);
    const runMilliseconds = timers.now() - started;
    this.#running.delete(running);
    answer.match(
      text => {
        this.#end({
          ...keyOf(attempt),
          outcome: AttemptOutcome.Answered,
          answer: text,
          runMilliseconds,
        });
      },
      failure => {
        this.#endFailed(attempt, failure, runMilliseconds);
      },
    );
    this.#fillSlots();
  }

  #endFailed(
    attempt: AttemptStart,
    failure: TargetFailure,
    runMilliseconds: Milliseconds,
  ): void {
    switch (failure.kind) {
      case TargetFailureKind.NotReached:
        this.#withdraw(attempt, NotStartedReason.TargetUnreachable);
        return;
      case TargetFailureKind.NotAsked:
        this.#withdraw(attempt, failure.cause);
        return;
      case TargetFailureKind.Failed:
        this.#end({
          ...keyOf(attempt),
          outcome: AttemptOutcome.Failed,
          reason: failure.reason,
          runMilliseconds,
        });
    }
  }

  /** Takes back a start of which the target provably heard nothing. */
  #withdraw(attempt: AttemptStart, reason: NotStartedReason): void {
    this.#refuse(attempt, reason, this.#options.ledger.withdrawStart(attempt));
  }

  #end(result: EndedAttempt): void {
    this.#logEnd(result, undefined);
    const dispatchers = this.#options.ledger.recordEnd(result);
    this.#options.attemptEnded(result, dispatchers);
  }

  #refuse(
    attempt: AttemptStart,
    reason: NotStartedReason,
    dispatchers: readonly DispatcherId[] = [attempt.dispatcher],
  ): void {
    const result: AttemptResult = {
      ...keyOf(attempt),
      outcome: AttemptOutcome.NotStarted,
      reason,
    };
    this.#logEnd(result, reason);
    this.#options.attemptEnded(result, dispatchers);
  }

  #logEnd(result: AttemptResult, reason: string | undefined): void {
    this.#options.decisions({
      kind: DecisionKind.Ended,
      ...keyOf(result),
      target: this.#options.announcement.targetId,
      outcome: result.outcome,
      reason,
    });
  }

  #cancelAttempt(key: AttemptKey, reason: string): void {
    const waiting = this.#waiting.take(key);
    if (waiting !== undefined) {
      this.#refuse(waiting.attempt, NotStartedReason.Cancelled);
      return;
    }
    const isAsked = (one: RunningAttempt) => isSameAttempt(one.attempt, key);
    const running = [...this.#running].find(isAsked);
    if (running === undefined) this.#options.cancelledLate?.();
    running?.abort.abort(new Error(reason));
  }
}

function describePermission(
  permission: StartPermission,
): NotStartedReason | undefined {
  switch (permission) {
    case StartPermission.Granted:
      return undefined;
    case StartPermission.Fenced:
      return NotStartedReason.Fenced;
    case StartPermission.AlreadyStarted:
      return NotStartedReason.AlreadyStarted;
  }
}

/** Queues attempts and runs them on the target within its slots. */
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

import { isSameAttempt, extractAttemptKey } from './attempt-keys.js';
import { type AttemptLedger, StartPermission } from './attempt-ledger.js';
import { DrainState } from './drain-state.js';
import {
  type TargetFailure,
  TargetFailureKind,
  type TargetPort,
} from './ports/target.js';
import type { EndedAttempt } from './task-record.js';
import { type WaitingAttempt, WaitingAttempts } from './waiting-attempts.js';

/** Dependencies and settings of `AttemptRunner`. */
export interface AttemptRunnerOptions {
  readonly announcement: TargetAnnouncement;
  readonly target: TargetPort;
  readonly ledger: AttemptLedger;
  readonly timers: TimerService;
  readonly decisions: DecisionSink;
  /** Maximum number of queued attempts beyond the free slots. */
  readonly queueLimit: number;
  /** Called for each cancellation of an attempt that is neither queued nor running. */
  readonly reportLateCancellation?: (() => void) | undefined;
  /** Called with the result of each attempt and the dispatchers to notify. */
  readonly reportResult: (
    result: AttemptResult,
    dispatchers: readonly DispatcherId[],
  ) => void;
}

interface RunningAttempt {
  readonly attempt: AttemptStart;
  readonly abort: AbortController;
}

/** Runs attempts. A refused attempt is never started afterwards. */
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

  /** Current load, as reported to dispatchers. */
  get load(): TargetLoad {
    return {
      freeSlots: Math.max(0, this.#slots - this.#running.size),
      queuedTasks: this.#waiting.size,
      draining: this.#drain.isDraining,
    };
  }

  /** Starts the attempt, queues it until a slot is free, or refuses it. */
  acceptAttempt(attempt: AttemptStart, requestId: string | undefined): void {
    const refusal = this.#findRefusal(attempt);
    if (refusal !== undefined) {
      this.#refuseAttempt(attempt, refusal);
      return;
    }
    this.#waiting.add(attempt, this.#options.timers.now(), requestId);
    this.#fillSlots();
  }

  /** Refuses queued attempts and aborts running ones. The reason is passed to the abort signal. */
  cancelAttempts(keys: readonly AttemptKey[], reason: string): void {
    for (const key of keys) this.#cancelAttempt(key, reason);
    this.#fillSlots();
  }

  /** Changes the number of slots. Attempts above a lower number run to their end. */
  changeSlots(slots: number): void {
    this.#slots = slots;
    this.#fillSlots();
  }

  /** Starts or ends draining by operators; while draining, new and queued attempts are refused. */
  changeDraining(draining: boolean): void {
    if (this.#drain.setDrainedByOperator(draining)) this.#beginDraining();
  }

  /** Starts draining for a planned stop, which no setting of operators ends. */
  beginStop(): void {
    if (this.#drain.beginStop()) this.#beginDraining();
  }

  /** Returns whether attempts whose results go to the dispatcher are queued or running. */
  hasWorkFor(dispatcher: DispatcherId): boolean {
    if (this.#waiting.hasAttemptOf(dispatcher)) return true;
    return [...this.#running].some(({ attempt }) =>
      this.#options.ledger.isWatched(attempt.jobId, dispatcher),
    );
  }

  /** Whether no attempt is queued or running. */
  get isIdle(): boolean {
    return this.#waiting.size === 0 && this.#running.size === 0;
  }

  #beginDraining(): void {
    const { targetId, incarnation } = this.#options.announcement;
    this.#options.decisions({
      kind: DecisionKind.Leaving,
      target: targetId,
      incarnation,
    });
    for (const { attempt } of this.#waiting.takeAll()) {
      this.#refuseAttempt(attempt, NotStartedReason.Draining);
    }
  }

  #findRefusal(attempt: AttemptStart): NotStartedReason | undefined {
    if (attempt.service !== this.#options.announcement.service) {
      return NotStartedReason.WrongService;
    }
    if (this.#drain.isDraining) return NotStartedReason.Draining;
    const queueCapacity =
      this.#slots + this.#options.queueLimit - this.#running.size;
    if (this.#waiting.size >= queueCapacity) return NotStartedReason.Busy;
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
    const waitedMilliseconds = this.#options.timers.now() - waiting.received;
    if (waitedMilliseconds >= attempt.remainingMilliseconds) {
      this.#refuseAttempt(attempt, NotStartedReason.DeadlinePassed);
      return;
    }
    const permission = this.#options.ledger.recordStart(
      attempt,
      attempt.dispatcher,
      attempt.idempotent,
    );
    const refusal = findStartRefusal(permission);
    if (refusal !== undefined) {
      this.#refuseAttempt(attempt, refusal);
      return;
    }
    const { targetId, incarnation } = this.#options.announcement;
    this.#options.decisions(
      {
        kind: DecisionKind.Started,
        ...extractAttemptKey(attempt),
        target: targetId,
        incarnation,
        idempotent: attempt.idempotent,
      },
      requestId,
    );
    const running: RunningAttempt = {
      attempt: {
        ...attempt,
        remainingMilliseconds:
          attempt.remainingMilliseconds - waitedMilliseconds,
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
        this.#recordEnd({
          ...extractAttemptKey(attempt),
          outcome: AttemptOutcome.Answered,
          answer: text,
          runMilliseconds,
        });
      },
      failure => {
        this.#handleFailure(attempt, failure, runMilliseconds);
      },
    );
    this.#fillSlots();
  }

  #handleFailure(
    attempt: AttemptStart,
    failure: TargetFailure,
    runMilliseconds: Milliseconds,
  ): void {
    switch (failure.kind) {
      case TargetFailureKind.NotReached:
        this.#withdrawStart(attempt, NotStartedReason.TargetUnreachable);
        return;
      case TargetFailureKind.NotAsked:
        this.#withdrawStart(attempt, failure.cause);
        return;
      case TargetFailureKind.Failed:
        this.#recordEnd({
          ...extractAttemptKey(attempt),
          outcome: AttemptOutcome.Failed,
          reason: failure.reason,
          runMilliseconds,
        });
    }
  }

  /** Reports an attempt as not started when its request provably never reached the target. */
  #withdrawStart(attempt: AttemptStart, reason: NotStartedReason): void {
    this.#refuseAttempt(
      attempt,
      reason,
      this.#options.ledger.withdrawStart(attempt),
    );
  }

  #recordEnd(result: EndedAttempt): void {
    this.#recordEndDecision(result, undefined);
    const dispatchers = this.#options.ledger.recordEnd(result);
    this.#options.reportResult(result, dispatchers);
  }

  #refuseAttempt(
    attempt: AttemptStart,
    reason: NotStartedReason,
    dispatchers: readonly DispatcherId[] = [attempt.dispatcher],
  ): void {
    const result: AttemptResult = {
      ...extractAttemptKey(attempt),
      outcome: AttemptOutcome.NotStarted,
      reason,
    };
    this.#recordEndDecision(result, reason);
    this.#options.reportResult(result, dispatchers);
  }

  #recordEndDecision(result: AttemptResult, reason: string | undefined): void {
    this.#options.decisions({
      kind: DecisionKind.Ended,
      ...extractAttemptKey(result),
      target: this.#options.announcement.targetId,
      outcome: result.outcome,
      reason,
    });
  }

  #cancelAttempt(key: AttemptKey, reason: string): void {
    const waiting = this.#waiting.take(key);
    if (waiting !== undefined) {
      this.#refuseAttempt(waiting.attempt, NotStartedReason.Cancelled);
      return;
    }
    const isRequested = (running: RunningAttempt) =>
      isSameAttempt(running.attempt, key);
    const running = [...this.#running].find(isRequested);
    if (running === undefined) this.#options.reportLateCancellation?.();
    running?.abort.abort(new Error(reason));
  }
}

function findStartRefusal(
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

/** Runs tasks on one life of a worker: queues, starts and stops them, and takes note of their ends. */
import {
  type SuspensionWatch,
  type TimerSubscription,
  watchSuspension,
} from '@cranberryturn/timers';
import {
  type DispatcherId,
  type Milliseconds,
  RunEndReason,
  type RunOrder,
  RunOutcome,
  type WorkerLoad,
  type WorkerRun,
} from '@cranberryturn/types';

import {
  type ActiveRun,
  createRuns,
  describeEnd,
  isSelected,
  RunPhase,
  type RunSelection,
} from './active-run.js';
import { findRunRefusal } from './find-run-refusal.js';
import { interpretEnd } from './interpret-end.js';
import { keepLease, type LeaseKeeper } from './keep-lease.js';
import { type EndedRun, nameTask } from './ports/worker.js';
import { RunTable } from './run-table.js';
import { startRun } from './start-run.js';
import { stopRun } from './stop-run.js';
import { WorkerClock } from './worker-clock.js';
import type { WorkerLifeOptions } from './worker-life-options.js';

const checkInterval: Milliseconds = 100;

/** One life of a worker. */
export class WorkerLife {
  readonly options: WorkerLifeOptions;
  readonly clock: WorkerClock;
  readonly #runs: RunTable;
  readonly #lease: LeaseKeeper;
  readonly #check: TimerSubscription;
  readonly #suspension: SuspensionWatch;
  #verifying = false;
  #draining = false;
  #closed = false;
  /** Nothing is started before this time: the worker refused or did not answer. */
  #heldUntil: Milliseconds = 0;

  constructor(options: WorkerLifeOptions) {
    this.options = options;
    this.clock = new WorkerClock(options.timers);
    this.#suspension = watchSuspension(options.timers);
    this.#runs = new RunTable(options.worker.capacity);
    this.#lease = keepLease(this);
    this.#check = options.timers.every(checkInterval, () => {
      this.#endOverdue();
    });
  }

  get worker(): WorkerRun {
    return this.options.worker;
  }

  get isClosed(): boolean {
    return this.#closed;
  }

  get lease(): LeaseKeeper {
    return this.#lease;
  }

  get load(): WorkerLoad {
    return {
      ...this.#runs.measureLoad(this.options.timers.now()),
      closed: this.#draining || this.#closed || this.#lease.isDoubtful,
    };
  }

  /** Runs that were given to the worker and have not ended. */
  listActive(): readonly ActiveRun[] {
    return this.#runs.listActive();
  }

  hasWorkFor(dispatcher: DispatcherId): boolean {
    return this.#runs.hasWorkFor(dispatcher);
  }

  get isIdle(): boolean {
    return this.#runs.isIdle;
  }

  /** Queues the runs of an order, or gives back those that must not wait; each is reported once when it ends. */
  accept(order: RunOrder): void {
    const now = this.options.timers.now();
    for (const run of createRuns(order, now)) {
      const refusal = this.#findRefusal(run);
      if (refusal === undefined) this.#queue(run);
      else this.end(run, RunOutcome.NotStarted, refusal);
    }
    this.fill();
    if (order.mayWait) return;
    this.#refuseWaiting(RunEndReason.NoRoom, run => run.order === order);
  }

  /** Stops some runs of a dispatcher. */
  stop(reason: RunEndReason, selection: RunSelection): void {
    this.#stopAll(reason, run => isSelected(run, selection));
  }

  /** Gives those of some runs back that still wait. */
  giveBack(selection: RunSelection): void {
    const matches = (run: ActiveRun): boolean => isSelected(run, selection);
    this.#refuseWaiting(RunEndReason.NoRoom, matches);
  }

  /** The worker leaves: nothing more is started. */
  drain(): void {
    if (this.#draining) return;
    this.#draining = true;
    this.#refuseWaiting(RunEndReason.Draining, () => true);
    this.options.stateChanged();
  }

  /** Starts what fits, the most urgent first. */
  fill(): void {
    const { timers, leases } = this.options;
    const now = timers.now();
    if (this.#closed || this.#draining || now < this.#heldUntil) return;
    if (!this.#lease.isReady || this.#lease.isDoubtful) return;
    if (this.#suspension.check() > 0) void this.#verify();
    if (this.#verifying) return;
    for (;;) {
      const run = this.#runs.startNext(
        now,
        one => one.expiresAt > now && leases.mayStart(one.dispatcher, now),
      );
      if (run === undefined) break;
      this.#lease.noteStart();
      this.options.usageChanged();
      void startRun(this, run);
    }
    if (this.#runs.findsRoom()) this.options.roomFound();
  }

  /** Gives a run back that the worker refused without doing anything; it may start later. */
  requeue(run: ActiveRun, pause: Milliseconds): void {
    if (run.phase === RunPhase.Ended) return;
    this.#release(run);
    this.hold(pause);
    run.phase = RunPhase.Waiting;
    if (run.stopReason === undefined && !this.#closed) {
      this.#runs.waiting.add(run);
      return;
    }
    const reason = run.stopReason ?? RunEndReason.WorkerGone;
    this.end(run, RunOutcome.NotStarted, reason);
  }

  /** Starts nothing for a while. */
  hold(pause: Milliseconds): void {
    const until = this.options.timers.now() + pause;
    if (until <= this.#heldUntil) return;
    this.#heldUntil = until;
    this.options.timers.after(pause, () => {
      this.fill();
    });
  }

  /** Ends a run and tells its dispatcher. */
  end(run: ActiveRun, outcome: RunOutcome, reason?: RunEndReason): void {
    if (run.phase === RunPhase.Ended) return;
    const end = describeEnd(run, outcome, reason, this.options.timers.now());
    this.#release(run);
    run.phase = RunPhase.Ended;
    this.options.runEnded(run.dispatcher, end);
  }

  /** Takes note of an end that the worker listed. */
  noteEnd(ended: EndedRun): void {
    const run = this.#runs.findActive(nameTask(ended.jobId, ended.taskId));
    if (run?.run !== ended.run) return;
    // The answer to its start was overtaken or lost.
    if (run.phase === RunPhase.Starting) run.phase = RunPhase.Running;
    const { outcome, reason } = interpretEnd(ended.end, run.stopReason);
    this.end(run, outcome, reason);
  }

  /** An order got no answer: what waits goes elsewhere, and what is at work may go on. */
  noteDoubt(): void {
    this.#refuseWaiting(RunEndReason.WorkerSilent, () => true);
    this.options.stateChanged();
  }

  /** This process was suspended: what waits may be at work elsewhere by now. */
  noteSuspension(): void {
    this.options.logger.warn(
      'this process was suspended; its dispatchers have to be heard again',
      {
        worker: this.worker.workerId,
        waiting: this.#runs.waiting.size,
        active: this.listActive().length,
      },
    );
    this.options.leases.endAll();
    this.#refuseWaiting(RunEndReason.Suspended, () => true);
    this.#stopAll(RunEndReason.DispatcherSilent, () => true);
  }

  /** The worker has been silent for longer than its lease: nothing is at work there any more. */
  noteExpiry(): void {
    for (const run of this.listActive()) {
      this.end(run, RunOutcome.Interrupted, RunEndReason.WorkerSilent);
    }
    this.#refuseWaiting(RunEndReason.WorkerSilent, () => true);
    this.options.stateChanged();
  }

  /** Ends this life of the worker: nothing of it is at work any more. */
  close(reason: RunEndReason): void {
    if (this.#closed) return;
    this.#closed = true;
    this.#check.cancel();
    this.#lease.stop();
    for (const run of this.listActive()) {
      this.end(run, RunOutcome.Interrupted, reason);
    }
    this.#refuseWaiting(reason, () => true);
    this.options.port.close();
    this.options.lost(reason);
  }

  /** Ends everything at once, as a crash of this process would: runs stay at work. */
  kill(): void {
    this.#closed = true;
    this.#check.cancel();
    this.#lease.stop();
    this.options.port.close();
  }

  /** The wall clock jumped: the clock of the worker tells whether this process was suspended. */
  async #verify(): Promise<void> {
    this.#verifying = true;
    await this.#lease.look();
    this.#verifying = false;
    this.fill();
  }

  #findRefusal(run: ActiveRun): RunEndReason | undefined {
    const { worker, leases, timers } = this.options;
    return findRunRefusal(run, {
      worker,
      capacity: this.#runs.capacity,
      waiting: this.#runs.waiting.size,
      isClosed: this.#closed,
      isDraining: this.#draining,
      isAnswering: this.#lease.isReady && !this.#lease.isDoubtful,
      isLeased: leases.mayStart(run.dispatcher, timers.now()),
    });
  }

  /** An earlier run of the task, of this or another dispatcher, ends before the new one starts. */
  #queue(run: ActiveRun): void {
    if (this.#runs.isRepeated(run)) return;
    this.#refuseWaiting(
      RunEndReason.Cancelled,
      other => other.task === run.task,
    );
    const active = this.#runs.findActive(run.task);
    if (active !== undefined) {
      run.run = Math.max(run.run, active.run + 1);
      this.#stopActive(active, RunEndReason.Cancelled);
    }
    this.#runs.waiting.add(run);
  }

  #stopAll(reason: RunEndReason, matches: (run: ActiveRun) => boolean): void {
    this.#refuseWaiting(reason, matches);
    for (const run of this.listActive()) {
      if (matches(run)) this.#stopActive(run, reason);
    }
  }

  #stopActive(run: ActiveRun, reason: RunEndReason): void {
    run.stopReason ??= reason;
    // A run that is being started is stopped once the worker has answered.
    if (run.phase === RunPhase.Running) void stopRun(this, run);
  }

  #refuseWaiting(
    reason: RunEndReason,
    matches: (run: ActiveRun) => boolean,
  ): void {
    for (const run of this.#runs.waiting.takeAll(matches)) {
      this.end(run, RunOutcome.NotStarted, reason);
    }
  }

  #release(run: ActiveRun): void {
    if (!this.#runs.release(run)) return;
    this.#lease.wake();
    this.options.usageChanged();
    // Capacity that became free is filled in the same turn, before the next order arrives.
    queueMicrotask(() => {
      this.fill();
    });
  }

  /** Ends what waits beyond its deadline, and stops the runs of dispatchers that are not heard. */
  #endOverdue(): void {
    if (this.isIdle) return;
    const { timers, leases } = this.options;
    const now = timers.now();
    this.#refuseWaiting(
      RunEndReason.DeadlinePassed,
      run => run.expiresAt <= now,
    );
    this.#stopAll(
      RunEndReason.DispatcherSilent,
      run =>
        !leases.isHeld(run.dispatcher, now) && run.stopReason === undefined,
    );
  }
}

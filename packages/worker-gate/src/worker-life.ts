/** Runs tasks on one life of a worker: queues, starts and stops them, and takes note of their ends. */
import type { Logger } from '@cranberryturn/logger';
import {
  type SuspensionWatch,
  type TimerService,
  type TimerSubscription,
  watchSuspension,
} from '@cranberryturn/timers';
import {
  type DispatcherId,
  type JobId,
  type Milliseconds,
  type RunEnd,
  RunEndReason,
  type RunOrder,
  RunOutcome,
  type SlowRun,
  type TaskId,
  type WorkerLoad,
  type WorkerRun,
} from '@cranberryturn/types';

import {
  type ActiveRun,
  createRuns,
  describeEnd,
  estimateWork,
  RunPhase,
} from './active-run.js';
import { Capacity } from './capacity.js';
import type { DispatcherLeases } from './dispatcher-leases.js';
import type { Fencing } from './fencing.js';
import { keepLease, type LeaseKeeper } from './keep-lease.js';
import {
  type EndedRun,
  nameTask,
  WorkerEnd,
  type WorkerPort,
} from './ports/worker.js';
import { startRun } from './start-run.js';
import { stopRun } from './stop-run.js';
import { mostWaitingRuns, WaitingRuns } from './waiting-runs.js';
import { WorkerClock } from './worker-clock.js';

const checkInterval: Milliseconds = 100;

/** What a life is built from. */
export interface WorkerLifeOptions {
  readonly worker: WorkerRun;
  readonly port: WorkerPort;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly fencing: Fencing;
  readonly leases: DispatcherLeases;
  /** Longest lease that the worker grants. */
  readonly leaseMilliseconds: Milliseconds;
  /** Hears how each run ended. */
  readonly runEnded: (dispatcher: DispatcherId, end: RunEnd) => void;
  /** Hears of runs that take far longer than estimated. */
  readonly runsSlow: (
    dispatcher: DispatcherId,
    runs: readonly SlowRun[],
  ) => void;
  /** Hears that the worker answers, is silent or drains. */
  readonly stateChanged: () => void;
  /** Hears that capacity was taken or became free. */
  readonly usageChanged: () => void;
  /** Hears that this life of the worker is over. */
  readonly lost: (reason: RunEndReason) => void;
}

/** One life of a worker. */
export class WorkerLife {
  readonly options: WorkerLifeOptions;
  readonly clock: WorkerClock;
  readonly #capacity: Capacity;
  readonly #waiting = new WaitingRuns();
  readonly #active = new Map<string, ActiveRun>();
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
    this.#capacity = new Capacity(options.worker.capacity);
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
    const now = this.options.timers.now();
    let runningWork = 0;
    for (const run of this.#active.values())
      runningWork += estimateWork(run, now);
    return {
      free: this.#capacity.free,
      waitingWork: this.#waiting.measureWork(now),
      runningWork: Math.round(runningWork),
      closed: this.#draining || this.#closed || this.#lease.isDoubtful,
    };
  }

  /** Runs that were given to the worker and have not ended. */
  listActive(): readonly ActiveRun[] {
    return [...this.#active.values()];
  }

  hasWorkFor(dispatcher: DispatcherId): boolean {
    const isOf = (run: ActiveRun): boolean => run.dispatcher === dispatcher;
    return this.#waiting.list().some(isOf) || this.listActive().some(isOf);
  }

  get isIdle(): boolean {
    return this.#active.size === 0 && this.#waiting.size === 0;
  }

  /** Queues the runs of an order; each is reported once when it ends. */
  accept(order: RunOrder): void {
    const now = this.options.timers.now();
    for (const run of createRuns(order, now)) {
      const refusal = this.#findRefusal(run);
      if (refusal === undefined) this.#queue(run);
      else this.end(run, RunOutcome.NotStarted, refusal);
    }
    this.fill();
  }

  /** Stops the runs of a dispatcher: all, those of a job, or some tasks of it. */
  stop(
    reason: RunEndReason,
    dispatcher: DispatcherId,
    jobId?: JobId,
    taskIds?: readonly TaskId[],
  ): void {
    this.#stopAll(
      reason,
      run =>
        run.dispatcher === dispatcher &&
        (jobId === undefined || run.order.jobId === jobId) &&
        (taskIds === undefined || taskIds.includes(run.taskId)),
    );
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
      const run = this.#waiting.takeFirst(
        one =>
          this.#capacity.canHold(one.order.need) &&
          !this.#active.has(one.task) &&
          one.expiresAt > now &&
          leases.mayStart(one.dispatcher, now),
      );
      if (run === undefined) return;
      this.#capacity.take(run.order.need);
      this.#active.set(run.task, run);
      run.phase = RunPhase.Starting;
      run.startedAt = now;
      this.#lease.noteStart();
      this.options.usageChanged();
      void startRun(this, run);
    }
  }

  /** Gives a run back that the worker refused without doing anything; it may start later. */
  requeue(run: ActiveRun, pause: Milliseconds): void {
    if (run.phase === RunPhase.Ended) return;
    this.#release(run);
    this.hold(pause);
    run.phase = RunPhase.Waiting;
    if (run.stopReason === undefined && !this.#closed) this.#waiting.add(run);
    else
      this.end(
        run,
        RunOutcome.NotStarted,
        run.stopReason ?? RunEndReason.WorkerGone,
      );
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
    const run = this.#active.get(nameTask(ended.jobId, ended.taskId));
    if (run?.run !== ended.run) return;
    // The answer to its start was overtaken or lost.
    if (run.phase === RunPhase.Starting) run.phase = RunPhase.Running;
    switch (ended.end) {
      case WorkerEnd.Done:
        this.end(run, RunOutcome.Done);
        return;
      case WorkerEnd.Failed:
        this.end(run, RunOutcome.Failed, RunEndReason.TaskFailed);
        return;
      case WorkerEnd.Stopped:
        this.end(
          run,
          RunOutcome.Interrupted,
          run.stopReason ?? RunEndReason.Cancelled,
        );
        return;
      case WorkerEnd.Expired:
        this.end(run, RunOutcome.Interrupted, RunEndReason.LeaseExpired);
    }
  }

  /** An order got no answer: what waits goes elsewhere, and what is at work may go on. */
  noteDoubt(): void {
    this.#refuseWaiting(RunEndReason.WorkerSilent, () => true);
    this.options.stateChanged();
  }

  /** The worker does not list a run that it had begun. */
  noteVanished(run: ActiveRun): void {
    this.end(run, RunOutcome.Interrupted, RunEndReason.WorkerGone);
  }

  /** This process was suspended: what waits may be at work elsewhere by now. */
  noteSuspension(): void {
    this.options.logger.warn(
      'this process was suspended; its dispatchers have to be heard again',
      {
        worker: this.worker.workerId,
        waiting: this.#waiting.size,
        active: this.#active.size,
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
    const { order } = run;
    if (this.#closed) return RunEndReason.WorkerGone;
    if (this.#draining) return RunEndReason.Draining;
    if (order.service !== worker.service) return RunEndReason.WrongService;
    const { label } = order.need;
    if (label !== undefined && !worker.labels.includes(label)) {
      return RunEndReason.WrongService;
    }
    if (!this.#capacity.canEverHold(order.need)) return RunEndReason.NoCapacity;
    if (this.#waiting.size >= mostWaitingRuns) return RunEndReason.NoCapacity;
    if (!leases.mayStart(run.dispatcher, timers.now())) {
      return RunEndReason.DispatcherSilent;
    }
    if (!this.#lease.isReady || this.#lease.isDoubtful) {
      return RunEndReason.WorkerSilent;
    }
    return undefined;
  }

  /** An earlier run of the task, of this or another dispatcher, ends before the new one starts. */
  #queue(run: ActiveRun): void {
    const isEarlier = (other: ActiveRun): boolean =>
      other.task === run.task && other !== run;
    const active = this.#active.get(run.task);
    const isRepeated = (other: ActiveRun | undefined): boolean =>
      other?.dispatcher === run.dispatcher && other.ordered === run.ordered;
    if (
      isRepeated(active) ||
      this.#waiting.list().some(other => isEarlier(other) && isRepeated(other))
    ) {
      return;
    }
    this.#refuseWaiting(RunEndReason.Cancelled, isEarlier);
    if (active !== undefined) {
      run.run = Math.max(run.run, active.run + 1);
      this.#stopActive(active, RunEndReason.Cancelled);
    }
    this.#waiting.add(run);
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
    for (const run of this.#waiting.takeAll(matches)) {
      this.end(run, RunOutcome.NotStarted, reason);
    }
  }

  #release(run: ActiveRun): void {
    if (this.#active.get(run.task) !== run) return;
    this.#active.delete(run.task);
    this.#capacity.giveBack(run.order.need);
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

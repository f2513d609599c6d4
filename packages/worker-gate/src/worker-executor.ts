/** Executes runs on one incarnation of a worker: queues, starts and stops them, and handles their ends. */
import type { TimerSubscription } from '@cranberryturn/timers';
import {
  type DispatcherId,
  type Milliseconds,
  RunEndReason,
  type RunOrder,
  type WorkerLoad,
  type WorkerResources,
  type WorkerRun,
} from '@cranberryturn/types';

import {
  type ActiveRun,
  createRuns,
  isSelected,
  requestStop,
  RunPhase,
  type RunSelection,
} from './active-run.js';
import { admitArrivedRuns } from './admit-arrived-runs.js';
import { composeLoad } from './compose-load.js';
import { areStartsHeld, isStartHeld, mayStart } from './order-validity.js';
import { findRunRefusal } from './find-run-refusal.js';
import { keepLease, type LeaseKeeper } from './keep-lease.js';
import { logSuspension } from './log-suspension.js';
import type { EndedRun } from './ports/worker.js';
import { resizeWorker } from './resize-worker.js';
import { RunEnds } from './run-ends.js';
import { type EndEvidence, EvidenceKind } from './run-evidence.js';
import { RunTable } from './run-table.js';
import { StartPause } from './start-pause.js';
import { startRun } from './start-run.js';
import { stopRun } from './stop-run.js';
import { watchOverdueRuns } from './watch-overdue-runs.js';
import { WorkerClock } from './worker-clock.js';
import type { WorkerExecutorOptions } from './worker-executor-options.js';
import type { WorkerReport } from './worker-report.js';

/** Executor for one incarnation of a worker. Each accepted run is reported exactly once, when there is evidence of its end. */
export class WorkerExecutor {
  readonly options: WorkerExecutorOptions;
  readonly clock: WorkerClock;
  #worker: WorkerRun;
  readonly #runs: RunTable;
  readonly #ends: RunEnds;
  readonly #lease: LeaseKeeper;
  readonly #overdueTimer: TimerSubscription;
  readonly #startPause: StartPause;
  #isDraining = false;
  #isClosed = false;
  #hasLeft = false;

  constructor(options: WorkerExecutorOptions) {
    this.options = options;
    this.#worker = options.worker;
    this.clock = new WorkerClock(options.timers);
    this.#runs = new RunTable(options);
    this.#lease = keepLease(this);
    this.#ends = new RunEnds(options, this.#runs, () => {
      this.#lease.wake();
      // Freed capacity is used in the same turn of the event loop, before the next order arrives.
      queueMicrotask(() => {
        this.startWaitingRuns();
      });
    });
    this.#startPause = new StartPause({
      timers: options.timers,
      readClock: () => this.#lease.readStatus(),
      ended: this.startWaitingRuns.bind(this),
    });
    this.#overdueTimer = watchOverdueRuns(options, {
      isIdle: () => this.isIdle,
      refuseWaitingRuns: this.#ends.refuseWaiting.bind(this.#ends),
      stopMatchingRuns: (reason, matches) => {
        this.#stopMatchingRuns(reason, matches);
      },
    });
  }

  /** The worker, with its latest capacity. */
  get worker(): WorkerRun {
    return this.#worker;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  get lease(): LeaseKeeper {
    return this.#lease;
  }

  get load(): WorkerLoad {
    const measured = this.#runs.measureLoad(this.options.timers.now());
    const isClosed = !this.#isOpen || this.#lease.isSuspected;
    return composeLoad(measured, isClosed, this.options.evacuations);
  }

  get #isOpen(): boolean {
    return !this.#isClosed && !this.#isDraining && !this.#hasLeft;
  }

  /** Runs that are starting or running. */
  listActiveRuns(): readonly ActiveRun[] {
    return this.#runs.listActiveRuns();
  }

  hasWorkFor(dispatcher: DispatcherId): boolean {
    return this.#runs.hasWorkFor(dispatcher);
  }

  get isIdle(): boolean {
    return this.#runs.isIdle;
  }

  /** Queues the runs of an order. Runs that cannot start at once are returned unless the order lets them wait. */
  acceptOrder(order: RunOrder): void {
    const lease = this.options.leases.findLease(order.dispatcher);
    const runs = createRuns(order, lease, this.options.timers.now());
    for (const run of runs) {
      const refusal = this.#findRefusal(run);
      if (refusal === undefined) this.#queueRun(run);
      else this.#ends.endNotStarted(run, refusal);
    }
    admitArrivedRuns(runs, () => {
      this.startWaitingRuns();
      if (order.mayWait || this.#isClosed || isStartHeld(this, lease)) return;
      this.#ends.refuseWaiting(RunEndReason.NoRoom, run => run.order === order);
    });
  }

  /** Stops the selected runs, queued or active. */
  stopRuns(reason: RunEndReason, selection: RunSelection): void {
    this.#stopMatchingRuns(reason, run => isSelected(run, selection));
  }

  /** Returns the selected runs that are still queued; active runs are not affected. */
  returnWaitingRuns(selection: RunSelection): void {
    const matches = (run: ActiveRun): boolean => isSelected(run, selection);
    this.#ends.refuseWaiting(RunEndReason.NoRoom, matches);
  }

  /**
   * Applies a changed capacity of the worker. Dispatchers are told before the queued runs that no longer fit at all are
   * returned to them, so that they place these elsewhere.
   */
  changeCapacity(capacity: WorkerResources): void {
    const resized = resizeWorker(this.#worker, capacity, this.options.logger);
    if (resized === undefined) return;
    this.#worker = resized;
    this.#runs.capacity.resize(capacity);
    this.options.stateChanged();
    this.#ends.refuseWaiting(
      RunEndReason.NoCapacity,
      ({ order }) => !this.#runs.capacity.canEverHold(order.need),
    );
    this.startWaitingRuns();
  }

  /** Starts no further runs and returns the queued ones, as the worker is about to leave. */
  drain(): void {
    if (this.#isDraining) return;
    this.#isDraining = true;
    this.#ends.refuseWaiting(RunEndReason.Draining, () => true);
    this.options.stateChanged();
  }

  /** Starts queued runs while the worker has capacity, the most urgent first; in an evacuation, returns them all. */
  startWaitingRuns(): void {
    const { timers, evacuations } = this.options;
    const now = timers.now();
    if (!this.#isOpen) return;
    if (evacuations.isClosed()) {
      this.#ends.refuseWaiting(RunEndReason.Evacuated, () => true);
      return;
    }
    if (!this.#lease.isReady || this.#lease.isSuspected) return;
    if (this.#startPause.isPaused() || areStartsHeld(this)) return;
    for (;;) {
      const run = this.#runs.takeNextRun(now, one => mayStart(this, one));
      if (run === undefined) break;
      void startRun(this, run);
    }
    if (this.#runs.detectFreedCapacity()) this.options.capacityFreed();
  }

  /** Queues a run again that the worker refused to start; no run starts for the length of the pause. */
  requeue(run: ActiveRun, pauseMilliseconds: Milliseconds): void {
    if (run.phase === RunPhase.Ended) return;
    this.#ends.release(run);
    this.pauseStarts(pauseMilliseconds);
    run.phase = RunPhase.Waiting;
    if (run.stopReason === undefined) this.#runs.waiting.add(run);
    else this.#ends.endNotStarted(run, run.stopReason);
  }

  /** Starts no runs for the length of the pause. */
  pauseStarts(pauseMilliseconds: Milliseconds): void {
    this.#startPause.begin(pauseMilliseconds);
  }

  /** Ends a run upon evidence, and reports the end to its dispatcher; a run that has ended is left as it is. */
  endRun(run: ActiveRun, evidence: EndEvidence): void {
    this.#ends.end(run, evidence);
  }

  /** Handles an end that the worker reported. */
  handleRunEnd(ended: EndedRun): void {
    this.#ends.endListed(ended);
  }

  /** Handles an order without a reply: queued runs return to their dispatchers, active runs go on. */
  handleUnansweredOrder(): void {
    this.#ends.refuseWaiting(RunEndReason.WorkerSilent, () => true);
    this.options.stateChanged();
  }

  /** Handles a suspension of this process: leases may have expired, and other workers may execute the queued tasks. */
  handleSuspension(): void {
    logSuspension(this.options.logger, this.worker, this.#runs);
    this.options.leases.endAllLeases(this.options.timers.now());
    this.#ends.refuseWaiting(RunEndReason.Suspended, () => true);
    this.#stopMatchingRuns(RunEndReason.DispatcherSilent, () => true);
  }

  /** Handles a worker silent for longer than its lease: no run is active there any more. */
  handleLeaseExpiry(): void {
    this.options.runsLost(this.listActiveRuns());
    for (const run of this.listActiveRuns())
      this.endRun(run, { kind: EvidenceKind.LeaseOver });
    this.#ends.refuseWaiting(RunEndReason.WorkerSilent, () => true);
    this.options.stateChanged();
  }

  /** Whether the worker answers, as far as is known. */
  get isAnswering(): boolean {
    return this.#lease.isReady && !this.#lease.isSuspected;
  }

  /** Whether the worker has reported that it is about to leave. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Whether the worker is said to have left, and has not reported since. */
  get hasLeft(): boolean {
    return this.#hasLeft;
  }

  /** Applies a report of the worker. */
  applyReport({ worker, clock, draining }: WorkerReport): void {
    if (clock !== undefined) this.clock.recordReport(clock);
    this.changeCapacity(worker.capacity);
    if (draining) this.drain();
    if (!this.#hasLeft) return;
    this.#hasLeft = false;
    this.options.stateChanged();
  }

  /** Starts no further runs until the worker reports again, and returns the queued ones. Active runs go on. */
  leave(): void {
    this.#hasLeft = true;
    this.#ends.refuseWaiting(RunEndReason.WorkerGone, () => true);
    this.options.stateChanged();
  }

  /** Sends no further orders, as the incarnation is over. Queued runs return; active runs keep their state. */
  close(): void {
    if (this.#isClosed) return;
    this.kill();
    for (const run of this.listActiveRuns())
      run.stopReason ??= RunEndReason.WorkerGone;
    this.#ends.refuseWaiting(RunEndReason.WorkerGone, () => true);
  }

  /** Stops the executor as a crash of this process would: runs at the worker stay active, and no end is reported. */
  kill(): void {
    this.#isClosed = true;
    this.#overdueTimer.cancel();
    this.#lease.stop();
    this.options.port.close();
  }

  #findRefusal(run: ActiveRun): RunEndReason | undefined {
    const { leases, timers, evacuations } = this.options;
    return findRunRefusal(run, {
      worker: this.#worker,
      capacity: this.#runs.capacity,
      waitingRuns: this.#runs.waiting.size,
      isClosed: this.#isClosed || this.#hasLeft,
      isDraining: this.#isDraining,
      isEvacuated: evacuations.isClosed(),
      isAnswering: this.isAnswering,
      isLeased: leases.canStart(run.lease, timers.now()),
    });
  }

  /** Queues a run. Earlier runs of its task, of any dispatcher, are stopped and end before the new run starts. */
  #queueRun(run: ActiveRun): void {
    if (this.#runs.isDuplicate(run)) return;
    this.#ends.refuseWaiting(
      RunEndReason.Cancelled,
      other => other.task === run.task,
    );
    const active = this.#runs.findActiveRun(run.task);
    if (active !== undefined) {
      run.run = Math.max(run.run, active.run + 1);
      this.#stopActiveRun(active, RunEndReason.Cancelled);
    }
    this.#runs.waiting.add(run);
  }

  #stopMatchingRuns(
    reason: RunEndReason,
    matches: (run: ActiveRun) => boolean,
  ): void {
    this.#ends.refuseWaiting(reason, matches);
    for (const run of this.listActiveRuns()) {
      if (matches(run)) this.#stopActiveRun(run, reason);
    }
  }

  #stopActiveRun(run: ActiveRun, reason: RunEndReason): void {
    requestStop(run, reason);
    // A starting run is stopped once the worker has replied.
    if (run.phase === RunPhase.Running) void stopRun(this, run);
  }
}

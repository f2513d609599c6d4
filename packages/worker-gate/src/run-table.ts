/** The queued and active runs of one worker. Active runs reserve capacity. */
import type {
  DispatcherId,
  JobId,
  Milliseconds,
  WorkerLoad,
} from '@cranberryturn/types';

import {
  type ActiveRun,
  estimateRemainingWork,
  RunPhase,
} from './active-run.js';
import { Capacity } from './capacity.js';
import type { QueuePresences } from './queue-presence.js';
import { StartedWork } from './started-work.js';
import { WaitingRuns } from './waiting-runs.js';
import type { WorkerExecutorOptions } from './worker-executor-options.js';

/** Free share of the processors that is reported as available again: tasks need up to a tenth of a worker. */
const minimumFreeShare = 0.1;

function isExclusive({ order }: ActiveRun): boolean {
  return order.runsAlone === true;
}

function hasBeenAdmitted({ phase }: ActiveRun): boolean {
  return phase !== RunPhase.Arrived;
}

/** The runs of one worker. A task has at most one active run. */
export class RunTable {
  readonly capacity: Capacity;
  readonly waiting = new WaitingRuns();
  readonly #started = new StartedWork();
  readonly #reportsStartedWork: boolean;
  readonly #presences: QueuePresences;
  readonly #active = new Map<string, ActiveRun>();
  /** Whether runs have been queued since freed capacity was last reported. */
  #wasFull = false;

  constructor({
    worker,
    reportsStartedWork = false,
    presences,
  }: Pick<
    WorkerExecutorOptions,
    'worker' | 'reportsStartedWork' | 'presences'
  >) {
    this.#presences = presences;
    this.capacity = new Capacity(worker.capacity);
    this.#reportsStartedWork = reportsStartedWork;
  }

  /** Whether capacity is free again after runs had to be queued. Returns true once per such period. */
  detectFreedCapacity(): boolean {
    const hasWaitingRuns = this.waiting.list().some(hasBeenAdmitted);
    if (hasWaitingRuns) this.#wasFull = true;
    if (!this.#wasFull || hasWaitingRuns) return false;
    const { free, total } = this.capacity;
    if (free.processors < total.processors * minimumFreeShare) return false;
    this.#wasFull = false;
    return true;
  }

  get isIdle(): boolean {
    return this.#active.size === 0 && this.waiting.size === 0;
  }

  /** Runs that are starting or running. */
  listActiveRuns(): readonly ActiveRun[] {
    return [...this.#active.values()];
  }

  findActiveRun(task: string): ActiveRun | undefined {
    return this.#active.get(task);
  }

  hasWorkFor(dispatcher: DispatcherId): boolean {
    const isOf = (run: ActiveRun): boolean => run.dispatcher === dispatcher;
    return this.waiting.list().some(isOf) || this.listActiveRuns().some(isOf);
  }

  /** Whether the same run is already queued or active, as its order arrived twice. */
  isDuplicate(run: ActiveRun): boolean {
    const isSame = (other: ActiveRun | undefined): boolean =>
      other?.task === run.task &&
      other.dispatcher === run.dispatcher &&
      other.orderedRun === run.orderedRun;
    return (
      isSame(this.findActiveRun(run.task)) || this.waiting.list().some(isSame)
    );
  }

  /** Removes the most urgent run that fits and may start from the queue, and reserves its capacity. */
  takeNextRun(
    now: Milliseconds,
    mayStartNow: (run: ActiveRun) => boolean,
  ): ActiveRun | undefined {
    const mayStart = (run: ActiveRun): boolean =>
      hasBeenAdmitted(run) && mayStartNow(run);
    const reservedJob = this.#findReservedJob();
    const isReserved =
      reservedJob !== undefined ||
      this.waiting.list().some(one => isExclusive(one) && mayStart(one));
    const run = this.waiting.takeMostUrgent(
      now,
      one =>
        (!isReserved || this.#mayStartAlone(one, reservedJob)) &&
        this.capacity.canHold(one.order.need) &&
        !this.#active.has(one.task) &&
        mayStart(one),
    );
    if (run === undefined) return undefined;
    this.#started.add(run.order.priority, estimateRemainingWork(run, now), now);
    this.capacity.reserve(run.order.need);
    this.#active.set(run.task, run);
    const { queue } = run.order;
    if (queue !== undefined) this.#presences.addRun(queue, now);
    run.phase = RunPhase.Starting;
    run.startedAt = now;
    run.lastProgressAt = now;
    return run;
  }

  /** The job that has the worker to itself now. */
  #findReservedJob(): JobId | undefined {
    return this.listActiveRuns().find(isExclusive)?.order.jobId;
  }

  /** While an exclusive run waits, no other starts: the worker would hardly ever become idle. */
  #mayStartAlone(
    { order }: ActiveRun,
    reservedJob: JobId | undefined,
  ): boolean {
    if (order.runsAlone !== true) return false;
    return reservedJob === undefined
      ? this.#active.size === 0
      : order.jobId === reservedJob;
  }

  /** Releases the capacity of a run; false when none is reserved. */
  releaseRun(run: ActiveRun, now: Milliseconds): boolean {
    if (this.#active.get(run.task) !== run) return false;
    this.#active.delete(run.task);
    const { queue } = run.order;
    if (queue !== undefined) this.#presences.removeRun(queue, now);
    this.capacity.release(run.order.need);
    return true;
  }

  measureLoad(now: Milliseconds): Omit<WorkerLoad, 'closed'> {
    let runningWork = 0;
    for (const run of this.#active.values()) {
      runningWork += estimateRemainingWork(run, now);
    }
    const { free } = this.capacity;
    const isReserved = this.#findReservedJob() !== undefined;
    const load = {
      free: isReserved ? { ...free, processors: 0 } : free,
      waitingWork: this.waiting.estimateWorkByPriority(now),
      runningWork: Math.round(runningWork),
    };
    return this.#reportsStartedWork
      ? { ...load, startedWork: this.#started.measureRates(now) }
      : load;
  }
}

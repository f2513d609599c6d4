/** The runs of one worker: those that wait, and those at work, which take its capacity. */
import type {
  DispatcherId,
  Milliseconds,
  WorkerLoad,
  WorkerResources,
} from '@cranberryturn/types';

import { type ActiveRun, estimateWork, RunPhase } from './active-run.js';
import { Capacity } from './capacity.js';
import { WaitingRuns } from './waiting-runs.js';

/** Free part of the processors that is told as room: tasks take up to a tenth of a worker. */
const leastRoom = 0.1;

/** The runs of one worker; a task has one run at work at the most. */
export class RunTable {
  readonly capacity: Capacity;
  readonly waiting = new WaitingRuns();
  readonly #active = new Map<string, ActiveRun>();
  /** Whether runs had to wait since room was last told. */
  #wasFull = false;

  constructor(total: WorkerResources) {
    this.capacity = new Capacity(total);
  }

  /** Whether the worker has room again after runs had to wait; tells it once. */
  findsRoom(): boolean {
    if (this.waiting.size > 0) this.#wasFull = true;
    if (!this.#wasFull || this.waiting.size > 0) return false;
    const { free, total } = this.capacity;
    if (free.processors < total.processors * leastRoom) return false;
    this.#wasFull = false;
    return true;
  }

  get isIdle(): boolean {
    return this.#active.size === 0 && this.waiting.size === 0;
  }

  /** Runs that were given to the worker and have not ended. */
  listActive(): readonly ActiveRun[] {
    return [...this.#active.values()];
  }

  findActive(task: string): ActiveRun | undefined {
    return this.#active.get(task);
  }

  hasWorkFor(dispatcher: DispatcherId): boolean {
    const isOf = (run: ActiveRun): boolean => run.dispatcher === dispatcher;
    return this.waiting.list().some(isOf) || this.listActive().some(isOf);
  }

  /** Whether the run waits or is at work already: its order arrived twice. */
  isRepeated(run: ActiveRun): boolean {
    const isSame = (other: ActiveRun | undefined): boolean =>
      other?.task === run.task &&
      other.dispatcher === run.dispatcher &&
      other.ordered === run.ordered;
    return (
      isSame(this.findActive(run.task)) || this.waiting.list().some(isSame)
    );
  }

  /** Takes the most urgent run that fits and may start, with its capacity. */
  startNext(
    now: Milliseconds,
    mayStart: (run: ActiveRun) => boolean,
  ): ActiveRun | undefined {
    const run = this.waiting.takeFirst(
      now,
      one =>
        this.capacity.canHold(one.order.need) &&
        !this.#active.has(one.task) &&
        mayStart(one),
    );
    if (run === undefined) return undefined;
    this.capacity.take(run.order.need);
    this.#active.set(run.task, run);
    run.phase = RunPhase.Starting;
    run.startedAt = now;
    run.progressAt = now;
    return run;
  }

  /** Gives the capacity of a run back; false when it holds none. */
  release(run: ActiveRun): boolean {
    if (this.#active.get(run.task) !== run) return false;
    this.#active.delete(run.task);
    this.capacity.giveBack(run.order.need);
    return true;
  }

  measureLoad(now: Milliseconds): Omit<WorkerLoad, 'closed'> {
    let runningWork = 0;
    for (const run of this.#active.values()) {
      runningWork += estimateWork(run, now);
    }
    return {
      free: this.capacity.free,
      waitingWork: this.waiting.measureWork(now),
      runningWork: Math.round(runningWork),
    };
  }
}

/**
 * Runs that wait for a worker, the most urgent first: by priority, then by the time at which the
 * job should have ended. Answers a load in which urgent short jobs and long ones share a worker.
 */
import type { Milliseconds } from '@cranberryturn/types';

import { type ActiveRun, estimateWork } from './active-run.js';

/** Most runs that wait; far above what can end before its deadline. */
export const mostWaitingRuns = 512;

/** Work of less urgent priorities is counted together. */
const countedPriorities = 4;

/** The waiting runs of one worker. */
export class WaitingRuns {
  #runs: ActiveRun[] = [];

  get size(): number {
    return this.#runs.length;
  }

  list(): readonly ActiveRun[] {
    return this.#runs;
  }

  add(run: ActiveRun): void {
    const place = this.#runs.findIndex(other => isMoreUrgent(run, other));
    this.#runs.splice(place < 0 ? this.#runs.length : place, 0, run);
  }

  remove(run: ActiveRun): void {
    this.#runs = this.#runs.filter(other => other !== run);
  }

  /** Takes out the most urgent run that may start; runs behind one that does not fit may go first. */
  takeFirst(mayStart: (run: ActiveRun) => boolean): ActiveRun | undefined {
    const place = this.#runs.findIndex(mayStart);
    return place < 0 ? undefined : this.#runs.splice(place, 1)[0];
  }

  /** Takes out all runs that match. */
  takeAll(matches: (run: ActiveRun) => boolean): readonly ActiveRun[] {
    const taken = this.#runs.filter(matches);
    if (taken.length > 0) {
      this.#runs = this.#runs.filter(run => !matches(run));
    }
    return taken;
  }

  /** Estimated work by priority, in processor-milliseconds. */
  measureWork(now: Milliseconds): readonly number[] {
    const work: number[] = new Array<number>(countedPriorities).fill(0);
    for (const run of this.#runs) {
      const priority = Math.min(run.order.priority, countedPriorities - 1);
      work[priority] = (work[priority] ?? 0) + estimateWork(run, now);
    }
    return work.map(Math.round);
  }
}

function isMoreUrgent(run: ActiveRun, other: ActiveRun): boolean {
  if (run.order.priority !== other.order.priority) {
    return run.order.priority < other.order.priority;
  }
  return run.dueAt < other.dueAt;
}

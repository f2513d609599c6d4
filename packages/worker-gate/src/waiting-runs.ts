/**
 * Runs that wait for a worker, the most urgent first: by priority, then those that can still end in
 * time, then by the time at which the job should have ended. Answers a load in which urgent short
 * jobs and long ones share a worker, and one beyond its capacity, where a run that is late already
 * would make the next one late as well.
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
    this.#runs.push(run);
  }

  remove(run: ActiveRun): void {
    this.#runs = this.#runs.filter(other => other !== run);
  }

  /** Takes out the most urgent run that may start; runs behind one that does not fit may go first. */
  takeFirst(
    now: Milliseconds,
    mayStart: (run: ActiveRun) => boolean,
  ): ActiveRun | undefined {
    let first: ActiveRun | undefined;
    for (const run of this.#runs) {
      if (!mayStart(run)) continue;
      if (first === undefined || isMoreUrgent(run, first, now)) first = run;
    }
    if (first !== undefined) this.remove(first);
    return first;
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

function isMoreUrgent(
  run: ActiveRun,
  other: ActiveRun,
  now: Milliseconds,
): boolean {
  if (run.order.priority !== other.order.priority) {
    return run.order.priority < other.order.priority;
  }
  const isInTime = canEndInTime(run, now);
  if (isInTime !== canEndInTime(other, now)) return isInTime;
  return run.dueAt < other.dueAt;
}

function canEndInTime(run: ActiveRun, now: Milliseconds): boolean {
  return now + run.order.estimatedMilliseconds <= run.dueAt;
}

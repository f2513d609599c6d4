/**
 * The queue of a worker. Runs are ordered by priority, then those that can still end in time come
 * first, then by due time. Priority keeps urgent short jobs ahead of long ones on a shared worker.
 * Under overload, a run that is already late goes last so that it does not delay the next one as well.
 */
import type { Milliseconds } from '@cranberryturn/types';

import { type ActiveRun, estimateRemainingWork } from './active-run.js';

/** Maximum length of the queue; far more runs than can end before their deadline. */
export const maximumWaitingRuns = 512;

/** Number of priorities reported separately; the last one includes all less urgent priorities. */
export const reportedPriorities = 4;

/** The queued runs of one worker. */
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

  /** Removes and returns the most urgent run that may start; a run that may not start blocks no others. */
  takeMostUrgent(
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

  /** Removes and returns all runs that match. */
  takeMatching(matches: (run: ActiveRun) => boolean): readonly ActiveRun[] {
    const taken = this.#runs.filter(matches);
    if (taken.length > 0) {
      this.#runs = this.#runs.filter(run => !matches(run));
    }
    return taken;
  }

  /** Estimated queued work by priority, in processor-milliseconds. */
  estimateWorkByPriority(now: Milliseconds): readonly number[] {
    const work: number[] = new Array<number>(reportedPriorities).fill(0);
    for (const run of this.#runs) {
      const priority = Math.min(run.order.priority, reportedPriorities - 1);
      work[priority] = (work[priority] ?? 0) + estimateRemainingWork(run, now);
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

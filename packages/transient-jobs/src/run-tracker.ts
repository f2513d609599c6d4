/** The runs that this dispatcher has at each worker. */
import type { RunEnd, TargetId } from '@cranberryturn/types';

import type { ActiveTask } from './active-job.js';

/** Runs that were sent and have not ended. */
export class RunTracker {
  readonly #runs = new Map<TargetId, Set<ActiveTask>>();

  hasRunsAt(workerId: TargetId): boolean {
    return this.#runs.has(workerId);
  }

  add(workerId: TargetId, task: ActiveTask): void {
    const known = this.#runs.get(workerId);
    if (known === undefined) this.#runs.set(workerId, new Set([task]));
    else known.add(task);
  }

  /** Takes out the task whose newest run ended; undefined for a run that was given up before. */
  take(workerId: TargetId, end: RunEnd): ActiveTask | undefined {
    for (const task of this.#runs.get(workerId) ?? []) {
      const isSame =
        task.taskId === end.taskId &&
        task.run === end.run &&
        task.job.job.jobId === end.jobId;
      if (!isSame) continue;
      this.#remove(workerId, task);
      return task;
    }
    return undefined;
  }

  /** Takes out all tasks at a worker where nothing is at work any more. */
  takeAll(workerId: TargetId): readonly ActiveTask[] {
    const tasks = [...(this.#runs.get(workerId) ?? [])];
    this.#runs.delete(workerId);
    return tasks;
  }

  #remove(workerId: TargetId, task: ActiveTask): void {
    const known = this.#runs.get(workerId);
    known?.delete(task);
    if (known?.size === 0) this.#runs.delete(workerId);
  }
}

/** The runs that this dispatcher has at each worker. */
import type { RunKey, TargetId } from '@cranberryturn/types';

import type { ActiveTask } from './active-job.js';

/** Runs that were sent and have not ended. */
export class RunTracker {
  readonly #runs = new Map<TargetId, Set<ActiveTask>>();
  /** Those that may wait at their worker. */
  readonly #waiting = new Set<ActiveTask>();

  hasRunsAt(workerId: TargetId): boolean {
    return this.#runs.has(workerId);
  }

  /** Tasks that may wait at their worker, and have not been asked back. */
  listWaiting(): Iterable<ActiveTask> {
    return this.#waiting;
  }

  /** The task was asked back. */
  noteAskedBack(task: ActiveTask): void {
    task.isWaiting = false;
    this.#waiting.delete(task);
  }

  add(workerId: TargetId, task: ActiveTask): void {
    if (task.isWaiting) this.#waiting.add(task);
    const known = this.#runs.get(workerId);
    if (known === undefined) this.#runs.set(workerId, new Set([task]));
    else known.add(task);
  }

  /** Takes out the task whose newest run ended; undefined for a run that was given up before. */
  take(workerId: TargetId, key: RunKey): ActiveTask | undefined {
    const task = this.find(workerId, key);
    if (task !== undefined) this.#remove(workerId, task);
    return task;
  }

  find(workerId: TargetId, key: RunKey): ActiveTask | undefined {
    for (const task of this.#runs.get(workerId) ?? []) {
      const isSame =
        task.taskId === key.taskId &&
        task.run === key.run &&
        task.job.job.jobId === key.jobId;
      if (isSame) return task;
    }
    return undefined;
  }

  /** Takes out all tasks at a worker where nothing is at work any more. */
  takeAll(workerId: TargetId): readonly ActiveTask[] {
    const tasks = [...(this.#runs.get(workerId) ?? [])];
    this.#runs.delete(workerId);
    for (const task of tasks) this.#waiting.delete(task);
    return tasks;
  }

  #remove(workerId: TargetId, task: ActiveTask): void {
    const known = this.#runs.get(workerId);
    known?.delete(task);
    this.#waiting.delete(task);
    if (known?.size === 0) this.#runs.delete(workerId);
  }
}

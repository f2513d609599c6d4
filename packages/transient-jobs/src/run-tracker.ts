/** Tracks the runs of this dispatcher in each session with a sidecar. */
import type { RunKey } from '@cranberryturn/types';

import type { ActiveTask } from './active-job.js';
import type { SessionNumber } from './sidecar-session.js';

/**
 * Runs that were sent in a session and are not known to have ended. A session outlasts the incarnations of its worker, and
 * its sidecar reports the end of each run once there is evidence of it.
 */
export class RunTracker {
  readonly #tasksBySession = new Map<SessionNumber, Set<ActiveTask>>();
  /** Tasks that may be queued at their worker and were not recalled. */
  readonly #waitingTasks = new Set<ActiveTask>();

  hasRunsIn(session: SessionNumber): boolean {
    return this.#tasksBySession.has(session);
  }

  /** Tasks that may be queued at their worker and were not recalled. */
  listWaitingTasks(): Iterable<ActiveTask> {
    return this.#waitingTasks;
  }

  /** Excludes a task from further recalls of its current run. */
  markRecalled(task: ActiveTask): void {
    task.isWaiting = false;
    this.#waitingTasks.delete(task);
  }

  addRun(session: SessionNumber, task: ActiveTask): void {
    if (task.isWaiting) this.#waitingTasks.add(task);
    const tasks = this.#tasksBySession.get(session);
    if (tasks === undefined) this.#tasksBySession.set(session, new Set([task]));
    else tasks.add(task);
  }

  /** Removes and returns the task of a run; undefined for a run that is no longer tracked. */
  removeEndedRun(session: SessionNumber, key: RunKey): ActiveTask | undefined {
    const task = this.findTask(session, key);
    if (task !== undefined) this.#remove(session, task);
    return task;
  }

  findTask(session: SessionNumber, key: RunKey): ActiveTask | undefined {
    for (const task of this.#tasksBySession.get(session) ?? []) {
      const isSame =
        task.taskId === key.taskId &&
        task.run === key.run &&
        task.job.job.jobId === key.jobId;
      if (isSame) return task;
    }
    return undefined;
  }

  /** Removes and returns the tasks of a session whose runs have all ended. */
  removeSession(session: SessionNumber): readonly ActiveTask[] {
    const ended = [...(this.#tasksBySession.get(session) ?? [])];
    for (const task of ended) this.#remove(session, task);
    return ended;
  }

  #remove(session: SessionNumber, task: ActiveTask): void {
    const tasks = this.#tasksBySession.get(session);
    tasks?.delete(task);
    this.#waitingTasks.delete(task);
    if (tasks?.size === 0) this.#tasksBySession.delete(session);
  }
}

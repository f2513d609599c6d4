/** A queue of waiting tasks, ordered by priority and then by due time. */
import type { SimulatedJob, SimulatedTask } from './binding-world.js';

/** Waiting tasks, the most urgent first. */
export class WaitingTasks {
  readonly #tasks: SimulatedTask[] = [];

  add(task: SimulatedTask): void {
    let position = this.#tasks.length;
    while (position > 0) {
      const before = this.#tasks[position - 1];
      if (before === undefined || compareUrgency(before.job, task.job) <= 0)
        break;
      position -= 1;
    }
    this.#tasks.splice(position, 0, task);
  }

  list(): readonly SimulatedTask[] {
    return this.#tasks;
  }

  /** Removes and returns the most urgent task that matches. */
  take(matches: (task: SimulatedTask) => boolean): SimulatedTask | undefined {
    const position = this.#tasks.findIndex(matches);
    return position < 0 ? undefined : this.#tasks.splice(position, 1)[0];
  }

  remove(task: SimulatedTask): void {
    const position = this.#tasks.indexOf(task);
    if (position >= 0) this.#tasks.splice(position, 1);
  }
}

/** Orders jobs by priority and then by due time, the most urgent first. */
export function compareUrgency(
  left: SimulatedJob,
  right: SimulatedJob,
): number {
  const byPriority = left.planned.kind.priority - right.planned.kind.priority;
  return byPriority === 0 ? left.dueAt - right.dueAt : byPriority;
}

/** A queue of waiting tasks, ordered by priority and then by due time. */
import type { SimulatedTask } from './binding-world.js';

/** Waiting tasks, the most urgent first. */
export class WaitingTasks {
  readonly #tasks: SimulatedTask[] = [];

  get size(): number {
    return this.#tasks.length;
  }

  add(task: SimulatedTask): void {
    let position = this.#tasks.length;
    while (position > 0) {
      const before = this.#tasks[position - 1];
      if (before === undefined || compareUrgency(before, task) <= 0) break;
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

function compareUrgency(left: SimulatedTask, right: SimulatedTask): number {
  const byPriority =
    left.job.planned.kind.priority - right.job.planned.kind.priority;
  return byPriority === 0 ? left.job.dueAt - right.job.dueAt : byPriority;
}

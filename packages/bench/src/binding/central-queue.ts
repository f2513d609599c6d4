/** A central queue that sees every worker at once; the bound that no real way reaches. */
import type { Milliseconds } from '@cranberryturn/types';

import type {
  BindingWay,
  BindingWorld,
  SimulatedJob,
  SimulatedWorker,
} from './binding-world.js';
import { WaitingTasks } from './waiting-tasks.js';

/** Creates a central queue that reuses processors `gapMilliseconds` after a task has ended. */
export function createCentralQueue(
  world: BindingWorld,
  gapMilliseconds: Milliseconds,
): BindingWay {
  const waiting = new WaitingTasks();
  const usable = new Map<SimulatedWorker, number>(
    world.workers.map(worker => [worker, worker.free]),
  );
  const place = (): void => {
    for (;;) {
      const task = waiting.take(one =>
        world.workers.some(
          worker => (usable.get(worker) ?? 0) >= one.planned.processors,
        ),
      );
      if (task === undefined) return;
      const { processors } = task.planned;
      const best = world.workers
        .filter(worker => (usable.get(worker) ?? 0) >= processors)
        .toSorted(
          (left, right) =>
            right.shape.speed - left.shape.speed ||
            (usable.get(right) ?? 0) - (usable.get(left) ?? 0),
        )[0];
      if (best === undefined) return;
      usable.set(best, (usable.get(best) ?? 0) - processors);
      world.start(best, task, () => {
        world.reportEnd(task);
        world.clock.after(gapMilliseconds, () => {
          usable.set(best, (usable.get(best) ?? 0) + processors);
          place();
        });
      });
    }
  };
  return {
    submit: (job: SimulatedJob) => {
      for (const task of job.tasks) waiting.add(task);
      place();
    },
  };
}

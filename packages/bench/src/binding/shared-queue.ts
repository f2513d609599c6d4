/**
 * One dispatcher keeps the waiting tasks of all in one queue and grants workers to them. Dispatchers place
 * a task when its worker is granted; sidecars report every end to the dispatcher that grants.
 */
import type {
  BindingWay,
  BindingWorld,
  SimulatedJob,
  SimulatedTask,
  SimulatedWorker,
} from './binding-world.js';
import { WaitingTasks } from './waiting-tasks.js';

/** Position of the dispatcher that grants. */
const grantingDispatcher = 0;

/** What the granting dispatcher knows of one worker. */
interface Ledger {
  readonly worker: SimulatedWorker;
  /** Processors without a granted or running task. */
  free: number;
}

/** Options of the shared queue. */
export interface SharedQueueOptions {
  /** Share of the processors of a worker that may be granted before they are free; such tasks queue at the worker. */
  readonly aheadShare: number;
}

/** Creates the shared queue. */
export function createSharedQueue(
  world: BindingWorld,
  { aheadShare }: SharedQueueOptions,
): BindingWay {
  const waiting = new WaitingTasks();
  const queues = new Map(
    world.workers.map(worker => [worker, new WaitingTasks()]),
  );
  const ledgers = world.workers.map((worker): Ledger => ({
    worker,
    free: worker.free,
  }));

  const startQueued = (worker: SimulatedWorker): void => {
    const queue = queues.get(worker);
    for (;;) {
      const task = queue?.take(one => world.fits(worker, one));
      if (task === undefined) return;
      world.start(worker, task, () => {
        world.reportEnd(task);
        reportFreed(worker, task);
        startQueued(worker);
      });
    }
  };

  const reportFreed = (worker: SimulatedWorker, task: SimulatedTask): void => {
    world.send(() => {
      const ledger = ledgers[worker.position];
      if (ledger !== undefined) ledger.free += task.planned.processors;
      grant();
    });
  };

  const place = (worker: SimulatedWorker, task: SimulatedTask): void => {
    world.send(() => {
      queues.get(worker)?.add(task);
      startQueued(worker);
    });
  };

  const choose = (task: SimulatedTask): Ledger | undefined => {
    const { processors } = task.planned;
    const isFree = ({ free }: Ledger): boolean => free >= processors;
    const mayQueue = ({ free, worker }: Ledger): boolean =>
      free + worker.shape.processors * aheadShare >= processors;
    const free = ledgers.filter(isFree);
    if (free.length > 0)
      return free.toSorted(
        (left, right) =>
          right.worker.shape.speed - left.worker.shape.speed ||
          right.free - left.free,
      )[0];
    return ledgers
      .filter(mayQueue)
      .toSorted((left, right) => right.free - left.free)[0];
  };

  const grant = (): void => {
    for (;;) {
      let chosen: Ledger | undefined;
      const task = waiting.take(one => {
        chosen = choose(one);
        return chosen !== undefined;
      });
      if (task === undefined || chosen === undefined) return;
      const { worker } = chosen;
      chosen.free -= task.planned.processors;
      if (task.job.planned.dispatcher === grantingDispatcher)
        place(worker, task);
      else
        world.send(() => {
          place(worker, task);
        });
    }
  };

  const enqueue = (job: SimulatedJob): void => {
    for (const task of job.tasks) waiting.add(task);
    grant();
  };

  return {
    submit: job => {
      if (job.planned.dispatcher === grantingDispatcher) enqueue(job);
      else
        world.send(() => {
          enqueue(job);
        });
    },
  };
}

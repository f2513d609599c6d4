/**
 * Late binding by reservations: a job holds a place in the queues of several workers, and the worker that has room
 * first fetches one of its tasks. The others are told when no task is left.
 */
import type { RandomSource } from '@cranberryturn/random';

import {
  type BindingWay,
  type BindingWorld,
  roundingTolerance,
  type SimulatedJob,
  type SimulatedTask,
  type SimulatedWorker,
} from './binding-world.js';
import { compareUrgency } from './waiting-tasks.js';

interface Reservation {
  readonly job: SimulatedJob;
  readonly processors: number;
  /** Number of tasks that may still be fetched, as far as the worker knows. */
  remaining: number;
}

/** Creates reservations at `places` workers for each job, or at all where there are fewer. */
export function createReservations(
  world: BindingWorld,
  places: number,
  random: RandomSource,
): BindingWay {
  const queues = new Map<SimulatedWorker, Reservation[]>(
    world.workers.map(worker => [worker, []]),
  );
  /** Room held for fetches under way. */
  const held = new Map<SimulatedWorker, number>();
  /** Tasks that a worker has fetched. */
  const taken = new Set<SimulatedTask>();
  const reservedAt = new Map<SimulatedJob, readonly SimulatedWorker[]>();

  const hold = (worker: SimulatedWorker, processors: number): void => {
    held.set(worker, (held.get(worker) ?? 0) + processors);
  };

  const withdraw = (job: SimulatedJob): void => {
    for (const worker of reservedAt.get(job) ?? []) {
      world.send(() => {
        const queue = queues.get(worker) ?? [];
        const position = queue.findIndex(one => one.job === job);
        if (position >= 0) queue.splice(position, 1);
      });
    }
  };

  const answer = (worker: SimulatedWorker, reservation: Reservation): void => {
    const { job, processors } = reservation;
    const task = job.tasks.find(one => !taken.has(one));
    if (task !== undefined) taken.add(task);
    const isLast = job.tasks.every(one => taken.has(one));
    if (isLast && task !== undefined) withdraw(job);
    world.send(() => {
      hold(worker, -processors);
      if (task === undefined) {
        fetch(worker);
        return;
      }
      world.start(worker, task, () => {
        world.reportEnd(task);
        fetch(worker);
      });
    });
  };

  const fetch = (worker: SimulatedWorker): void => {
    const queue = queues.get(worker) ?? [];
    for (;;) {
      const free = worker.free - (held.get(worker) ?? 0);
      const position = queue.findIndex(
        one => one.processors <= free + roundingTolerance,
      );
      const reservation = queue[position];
      if (reservation === undefined) return;
      reservation.remaining -= 1;
      if (reservation.remaining <= 0) queue.splice(position, 1);
      hold(worker, reservation.processors);
      world.send(() => {
        answer(worker, reservation);
      });
    }
  };

  const reserve = (worker: SimulatedWorker, job: SimulatedJob): void => {
    world.send(() => {
      const queue = queues.get(worker) ?? [];
      const processors = job.tasks[0]?.planned.processors ?? 0;
      const reservation = { job, processors, remaining: job.tasks.length };
      const position = queue.findIndex(one => compareUrgency(job, one.job) < 0);
      queue.splice(position < 0 ? queue.length : position, 0, reservation);
      fetch(worker);
    });
  };

  return {
    submit: job => {
      const chosen = chooseSome(world.workers, places, random);
      reservedAt.set(job, chosen);
      for (const worker of chosen) reserve(worker, job);
    },
  };
}

function chooseSome<Item>(
  items: readonly Item[],
  count: number,
  random: RandomSource,
): readonly Item[] {
  const rest = [...items];
  const chosen: Item[] = [];
  while (chosen.length < count && rest.length > 0)
    chosen.push(...rest.splice(random.below(rest.length), 1));
  return chosen;
}

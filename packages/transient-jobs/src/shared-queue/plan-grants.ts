/** Plans which workers get the tasks of a request that they can start at once. */
import type { RandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';

import { type ChosenWorker, chooseWorkers } from '../choose-workers.js';
import type { KnownWorker } from '../known-worker.js';
import type { QueuedRequest } from './capacity-queue.js';

/** What a plan depends on besides the request and the workers. */
export interface GrantPlanOptions {
  readonly random: RandomSource;
  /** Factor by which a task runs longer on a rack without its input data. */
  readonly remoteFactor: number;
  readonly now: Milliseconds;
}

const noPlacedTasks: ReadonlyMap<string, number> = new Map();

/** Plans as many tasks of the request as have room now. */
export function planGrants(
  { dispatcher, request, tasks }: QueuedRequest,
  workers: readonly KnownWorker[],
  { random, remoteFactor, now }: GrantPlanOptions,
): readonly ChosenWorker[] {
  const { hosts, need, dataLabel, service } = request;
  return chooseWorkers(
    {
      step: { need, dataLabel },
      priority: request.priority,
      estimateMilliseconds: request.estimatedMilliseconds,
      tasks,
      dataCentre: request.dataCentre,
      remoteFactor,
      excludedWorkers: new Set(request.excludedWorkers),
      hosts: hosts && {
        confinedTo: hosts.confinedTo && new Set(hosts.confinedTo),
        avoided: new Set(hosts.avoided),
        excluded: new Set(hosts.excluded),
      },
      mustStartAtOnce: true,
      placedTasks: noPlacedTasks,
    },
    workers.filter(
      ({ coordination, worker }) =>
        worker.service === service && coordination.dispatchers.has(dispatcher),
    ),
    random,
    now,
  );
}

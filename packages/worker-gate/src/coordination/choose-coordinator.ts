/**
 * Chooses the dispatcher that coordinates a worker: it grants the free capacity to the tasks of all dispatchers. All
 * sidecars choose by the same rule, so that a group of workers has one shared queue, and a sidecar that hears others
 * than the rest needs no agreement: its worker then belongs to another group.
 */
import { computeWeight, hashName } from '@cranberryturn/sessions';
import type { DispatcherId, KnownDispatcher } from '@cranberryturn/types';

/** One dispatcher of this many coordinates workers, so that no queue grows with the number of dispatchers. */
const dispatchersPerCoordinator = 6;
const rankingSalt = 'coordinator';

/** The dispatchers that may coordinate the worker of a sidecar, the preferred one first. */
export function rankCoordinators(
  sidecar: string,
  dispatchers: readonly KnownDispatcher[],
): readonly KnownDispatcher[] {
  const count = Math.ceil(dispatchers.length / dispatchersPerCoordinator);
  const ranked = sortBySize(dispatchers);
  const coordinators = sortByWeight(sidecar, ranked.slice(0, count));
  return [...coordinators, ...ranked.slice(count)];
}

/** The preferred dispatcher that is connected; undefined when none is. */
export function chooseCoordinator(
  ranked: readonly KnownDispatcher[],
  isConnected: (dispatcher: DispatcherId) => boolean,
): DispatcherId | undefined {
  return ranked.find(({ dispatcherId }) => isConnected(dispatcherId))
    ?.dispatcherId;
}

/** The largest hosts first, as coordination takes processor time. */
function sortBySize(
  dispatchers: readonly KnownDispatcher[],
): readonly KnownDispatcher[] {
  return sortByWeight(rankingSalt, dispatchers).toSorted(
    (left, right) => (right.processors ?? 0) - (left.processors ?? 0),
  );
}

function sortByWeight(
  name: string,
  dispatchers: readonly KnownDispatcher[],
): readonly KnownDispatcher[] {
  const hash = hashName(name);
  const weigh = ({ dispatcherId }: KnownDispatcher): number =>
    computeWeight(hash, hashName(dispatcherId));
  return dispatchers.toSorted(
    (left, right) =>
      weigh(right) - weigh(left) ||
      (left.dispatcherId < right.dispatcherId ? -1 : 1),
  );
}

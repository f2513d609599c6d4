/**
 * Chooses the dispatcher that coordinates a worker: it grants the free capacity to the tasks of all dispatchers. All
 * sidecars choose by the same rule, so that a group of workers has one shared queue, and a sidecar that hears others
 * than the rest needs no agreement: its worker then belongs to another group.
 */
import { computeWeight, hashName } from '@cranberryturn/sessions';
import type { DispatcherId, KnownDispatcher } from '@cranberryturn/types';

/** A dispatcher that may coordinate a worker. */
export type CoordinatorCandidate = Pick<
  KnownDispatcher,
  'dispatcherId' | 'processors'
>;

/** One dispatcher of this many coordinates workers, so that no queue grows with the number of dispatchers. */
const dispatchersPerCoordinator = 6;
/**
 * Each sidecar has sessions with eight dispatchers. With more dispatchers than this, one reaches fewer than half of the
 * workers that wait in a queue with its tasks, and tasks are placed by load reports.
 */
const maximumDispatchers = 16;
/** Processors of a host that may coordinate, as a part of those of the largest one. */
const minimumSizeShare = 0.5;
const rankingSalt = 'coordinator';

/** The dispatchers that may coordinate the worker of a sidecar, the preferred one first. */
export function rankCoordinators<Candidate extends CoordinatorCandidate>(
  sidecar: string,
  dispatchers: readonly Candidate[],
): readonly Candidate[] {
  if (dispatchers.length > maximumDispatchers) return [];
  const count = Math.ceil(dispatchers.length / dispatchersPerCoordinator);
  const ranked = sortBySize(selectLarge(dispatchers));
  const coordinators = sortByWeight(sidecar, ranked.slice(0, count));
  return [...coordinators, ...ranked.slice(count)];
}

/** The preferred dispatcher that is connected; undefined when none is. */
export function chooseCoordinator(
  ranked: readonly CoordinatorCandidate[],
  isConnected: (dispatcher: DispatcherId) => boolean,
): DispatcherId | undefined {
  return ranked.find(({ dispatcherId }) => isConnected(dispatcherId))
    ?.dispatcherId;
}

/** A small host would be busy with coordination alone; without a large one tasks are placed by load reports. */
function selectLarge<Candidate extends CoordinatorCandidate>(
  dispatchers: readonly Candidate[],
): readonly Candidate[] {
  const largest = Math.max(
    ...dispatchers.map(({ processors = 0 }) => processors),
  );
  return dispatchers.filter(
    ({ processors = 0 }) => processors >= largest * minimumSizeShare,
  );
}

/** The largest hosts first, as coordination takes processor time. */
function sortBySize<Candidate extends CoordinatorCandidate>(
  dispatchers: readonly Candidate[],
): readonly Candidate[] {
  return sortByWeight(rankingSalt, dispatchers).toSorted(
    (left, right) => (right.processors ?? 0) - (left.processors ?? 0),
  );
}

function sortByWeight<Candidate extends CoordinatorCandidate>(
  name: string,
  dispatchers: readonly Candidate[],
): readonly Candidate[] {
  const hash = hashName(name);
  const weigh = ({ dispatcherId }: CoordinatorCandidate): number =>
    computeWeight(hash, hashName(dispatcherId));
  return dispatchers.toSorted(
    (left, right) =>
      weigh(right) - weigh(left) ||
      (left.dispatcherId < right.dispatcherId ? -1 : 1),
  );
}

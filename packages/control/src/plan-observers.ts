/** Plans which replicas observe: those without a disk, and standbys, which have one. */
import { MemberChangeKind, MemberRole } from '@cranberryturn/replicated-log';

import {
  composeStep,
  type GroupView,
  learnerSilenceLimitMilliseconds,
  listNewcomers,
  maximumObservers,
} from './group-view.js';
import type { MembershipStep } from './reconcile-members.js';

/** Removes an observer that is silent, or whose host has announced itself under a new identity. */
export function findObserverRemoval(
  view: GroupView,
): MembershipStep | undefined {
  const newcomers = listNewcomers(view);
  const removed = view.members
    .filter(({ role }) => role === MemberRole.Observer)
    .find(
      ({ replicaId, address }) =>
        view.measureSilence(replicaId) >= learnerSilenceLimitMilliseconds ||
        newcomers.some(one => one.address === address),
    );
  if (removed === undefined) return undefined;
  const { replicaId } = removed;
  return composeStep({ kind: MemberChangeKind.Remove, replicaId });
}

/** Adds a newcomer as an observer; one with a disk, which no vote was free for, as a standby. */
export function findObserverAddition(
  view: GroupView,
): MembershipStep | undefined {
  const observers = view.members.filter(
    ({ role }) => role === MemberRole.Observer,
  );
  const added = listNewcomers(view).find(newcomer => {
    const alike = observers.filter(
      ({ isStandby }) => (isStandby === true) === hasDisk(newcomer),
    );
    return alike.length < maximumObservers;
  });
  if (added === undefined) return undefined;
  const { replicaId, address, dataCentre } = added;
  return composeStep({
    kind: MemberChangeKind.AddObserver,
    replicaId,
    address,
    ...(dataCentre === undefined ? {} : { dataCentre }),
    ...(hasDisk(added) ? { isStandby: true } : {}),
  });
}

function hasDisk({ isObserver }: { isObserver?: boolean | undefined }) {
  return isObserver !== true;
}

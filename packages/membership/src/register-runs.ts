/** Applies committed registrations and retirements to the roster. */
import type {
  DispatcherIdentity,
  DispatcherRecord,
  LogIndex,
  Milliseconds,
  TargetAnnouncement,
  TargetIdentity,
} from '@cranberryturn/types';

import {
  composeDispatcherKey,
  composeTargetKey,
  type RosterMoment,
  type RosterRetention,
  type RosterState,
} from './roster-state.js';

/** Registers a run of a dispatcher and retires the earlier one. Returns the position of its registration. */
export function registerDispatcher(
  state: RosterState,
  dispatcher: DispatcherRecord,
  moment: RosterMoment,
): LogIndex {
  const retired = state.retiredDispatchers.get(
    composeDispatcherKey(dispatcher),
  );
  if (retired !== undefined) return retired.registeredAt;
  const known = state.dispatchers.get(dispatcher.dispatcherId);
  if (known?.incarnation === dispatcher.incarnation) return known.registeredAt;
  if (known !== undefined) retireDispatcher(state, known, moment);
  const { dispatcherId, incarnation, address } = dispatcher;
  state.dispatchers.set(dispatcherId, {
    dispatcherId,
    incarnation,
    address,
    registeredAt: moment.index,
  });
  state.version = moment.index;
  return moment.index;
}

/** Takes a run of a dispatcher off the roster. */
export function retireDispatcher(
  state: RosterState,
  dispatcher: DispatcherIdentity,
  moment: RosterMoment,
): void {
  const known = state.dispatchers.get(dispatcher.dispatcherId);
  if (known?.incarnation !== dispatcher.incarnation) return;
  const { dispatcherId, incarnation, registeredAt } = known;
  state.dispatchers.delete(dispatcherId);
  state.retiredDispatchers.set(composeDispatcherKey(known), {
    dispatcherId,
    incarnation,
    registeredAt,
    retiredTime: moment.leaderTime,
  });
  state.version = moment.index;
}

/** Registers a run of a sidecar and retires the earlier one. Returns the position of its registration. */
export function registerTarget(
  state: RosterState,
  target: TargetAnnouncement,
  moment: RosterMoment,
): LogIndex {
  const retired = state.retiredTargets.get(composeTargetKey(target));
  if (retired !== undefined) return retired.registeredAt;
  const known = state.targets.get(target.targetId);
  if (known?.incarnation === target.incarnation) return known.registeredAt;
  if (known !== undefined) retireTarget(state, known, moment);
  state.targets.set(target.targetId, { ...target, registeredAt: moment.index });
  state.version = moment.index;
  return moment.index;
}

/** Takes a run of a sidecar off the roster; it stays a witness of the jobs claimed before. */
export function retireTarget(
  state: RosterState,
  target: TargetIdentity,
  moment: RosterMoment,
): void {
  const known = state.targets.get(target.targetId);
  if (known?.incarnation !== target.incarnation) return;
  const { targetId, incarnation, service, registeredAt } = known;
  state.targets.delete(targetId);
  state.retiredTargets.set(composeTargetKey(known), {
    targetId,
    incarnation,
    service,
    registeredAt,
    retiredAt: moment.index,
    retiredTime: moment.leaderTime,
  });
  state.version = moment.index;
}

/** Forgets retired runs whose retention has passed, and the oldest ones above the bound. */
export function dropRetiredRuns(
  state: RosterState,
  retention: RosterRetention,
  now: Milliseconds,
): void {
  const horizon = now - retention.retiredMilliseconds;
  const { retiredTargets, retiredDispatchers } = state;
  for (const [key, run] of retiredTargets) {
    const crowded = retiredTargets.size > retention.maximumRetired;
    if (run.retiredTime >= horizon && !crowded) break;
    retiredTargets.delete(key);
    state.forgottenUpTo = run.retiredAt;
  }
  for (const [key, run] of retiredDispatchers) {
    const crowded = retiredDispatchers.size > retention.maximumRetired;
    if (run.retiredTime >= horizon && !crowded) break;
    retiredDispatchers.delete(key);
  }
}

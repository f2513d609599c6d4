/** Applies committed registrations and retirements to the roster. */
import type {
  DispatcherIdentity,
  DispatcherRecord,
  LogIndex,
  Milliseconds,
  TargetAnnouncement,
  TargetIdentity,
  TargetRecord,
} from '@cranberryturn/types';

import {
  composeDispatcherKey,
  composeTargetKey,
  type RegisteredDispatcher,
  RetirementReason,
  type RosterMoment,
  type RosterRetention,
  type RosterState,
} from './roster-state.js';

/** One registration of a run of a dispatcher. */
export interface DispatcherRegistration extends DispatcherIdentity {
  readonly registeredAt: LogIndex;
}

/** One registration of a run of a sidecar. */
export interface TargetRegistration extends TargetIdentity {
  readonly registeredAt: LogIndex;
}

/** Runs whose lease has passed. */
export interface ExpiredRuns {
  readonly dispatchers: readonly DispatcherRegistration[];
  readonly targets: readonly TargetRegistration[];
}

/** Registers a run of a dispatcher and retires the earlier one. Returns the position of its registration. */
export function registerDispatcher(
  state: RosterState,
  dispatcher: DispatcherRecord,
  moment: RosterMoment,
): LogIndex {
  const known = state.dispatchers.get(dispatcher.dispatcherId);
  if (known?.incarnation === dispatcher.incarnation) return known.registeredAt;
  const retired = state.retiredDispatchers.get(
    composeDispatcherKey(dispatcher),
  );
  if (retired !== undefined && !mayReturn(retired.reason, known)) {
    return retired.registeredAt;
  }
  if (known !== undefined) {
    removeDispatcher(state, known, RetirementReason.Replaced, moment);
  }
  const { dispatcherId, incarnation, address } = dispatcher;
  state.dispatchers.set(dispatcherId, {
    dispatcherId,
    incarnation,
    address,
    registeredAt: moment.index,
    ...(known === undefined ? {} : { replacesRun: true }),
  });
  state.version = moment.index;
  return moment.index;
}

/** Takes a run of a dispatcher that stops off the roster. */
export function retireDispatcher(
  state: RosterState,
  dispatcher: DispatcherIdentity,
  moment: RosterMoment,
): void {
  const known = state.dispatchers.get(dispatcher.dispatcherId);
  if (known?.incarnation !== dispatcher.incarnation) return;
  removeDispatcher(state, known, RetirementReason.Left, moment);
}

/** Registers a run of a sidecar and retires the earlier one. Returns the position of its registration. */
export function registerTarget(
  state: RosterState,
  target: TargetAnnouncement,
  moment: RosterMoment,
): LogIndex {
  const known = state.targets.get(target.targetId);
  if (known?.incarnation === target.incarnation) return known.registeredAt;
  const retired = state.retiredTargets.get(composeTargetKey(target));
  if (retired !== undefined && !mayReturn(retired.reason, known)) {
    return retired.registeredAt;
  }
  if (known !== undefined) {
    removeTarget(state, known, RetirementReason.Replaced, moment);
  }
  state.targets.set(target.targetId, { ...target, registeredAt: moment.index });
  state.version = moment.index;
  return moment.index;
}

/** Takes a run of a sidecar that stops off the roster; it stays a witness of the jobs claimed before. */
export function retireTarget(
  state: RosterState,
  target: TargetIdentity,
  moment: RosterMoment,
): void {
  const known = state.targets.get(target.targetId);
  if (known?.incarnation !== target.incarnation) return;
  removeTarget(state, known, RetirementReason.Left, moment);
}

/** Takes runs whose lease has passed off the roster. Runs that registered again since the decision stay. */
export function expireRuns(
  state: RosterState,
  expired: ExpiredRuns,
  moment: RosterMoment,
): void {
  for (const run of expired.dispatchers) {
    const known = state.dispatchers.get(run.dispatcherId);
    if (known?.incarnation !== run.incarnation) continue;
    if (known.registeredAt !== run.registeredAt) continue;
    removeDispatcher(state, known, RetirementReason.Expired, moment);
  }
  for (const run of expired.targets) {
    const known = state.targets.get(run.targetId);
    if (known?.incarnation !== run.incarnation) continue;
    if (known.registeredAt !== run.registeredAt) continue;
    removeTarget(state, known, RetirementReason.Expired, moment);
  }
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

/** A run that expired may return, unless another run took its name meanwhile. */
function mayReturn(reason: RetirementReason, replacement: unknown): boolean {
  return reason === RetirementReason.Expired && replacement === undefined;
}

function removeDispatcher(
  state: RosterState,
  { dispatcherId, incarnation, registeredAt }: RegisteredDispatcher,
  reason: RetirementReason,
  moment: RosterMoment,
): void {
  const key = composeDispatcherKey({ dispatcherId, incarnation });
  state.dispatchers.delete(dispatcherId);
  state.retiredDispatchers.delete(key);
  state.retiredDispatchers.set(key, {
    dispatcherId,
    incarnation,
    reason,
    registeredAt,
    retiredTime: moment.leaderTime,
  });
  state.version = moment.index;
}

function removeTarget(
  state: RosterState,
  { targetId, incarnation, service, registeredAt }: TargetRecord,
  reason: RetirementReason,
  moment: RosterMoment,
): void {
  const key = composeTargetKey({ targetId, incarnation });
  const earlier = state.retiredTargets.get(key);
  state.targets.delete(targetId);
  // Deleted first: the runs are kept in the order of their retirement.
  state.retiredTargets.delete(key);
  state.retiredTargets.set(key, {
    targetId,
    incarnation,
    service,
    reason,
    // A run that returned stays a witness from its first registration on.
    registeredAt: earlier?.registeredAt ?? registeredAt,
    retiredAt: moment.index,
    retiredTime: moment.leaderTime,
  });
  state.version = moment.index;
}

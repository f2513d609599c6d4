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
  type EntryMetadata,
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
  entry: EntryMetadata,
): LogIndex {
  const known = state.dispatchers.get(dispatcher.dispatcherId);
  if (known?.incarnation === dispatcher.incarnation) return known.registeredAt;
  const retired = state.retiredDispatchers.get(
    composeDispatcherKey(dispatcher),
  );
  if (retired !== undefined && !canRegisterAgain(retired.reason, known)) {
    return retired.registeredAt;
  }
  if (known !== undefined) {
    removeDispatcher(state, known, RetirementReason.Replaced, entry);
  }
  const { dispatcherId, incarnation, address } = dispatcher;
  state.dispatchers.set(dispatcherId, {
    dispatcherId,
    incarnation,
    address,
    registeredAt: entry.index,
    ...(known === undefined ? {} : { replacesRun: true }),
  });
  state.version = entry.index;
  return entry.index;
}

/** Takes a run of a dispatcher that stops off the roster. */
export function retireDispatcher(
  state: RosterState,
  dispatcher: DispatcherIdentity,
  entry: EntryMetadata,
): void {
  const known = state.dispatchers.get(dispatcher.dispatcherId);
  if (known?.incarnation !== dispatcher.incarnation) return;
  removeDispatcher(state, known, RetirementReason.Left, entry);
}

/** Registers a run of a sidecar and retires the earlier one. Returns the position of its registration. */
export function registerTarget(
  state: RosterState,
  target: TargetAnnouncement,
  entry: EntryMetadata,
): LogIndex {
  const known = state.targets.get(target.targetId);
  if (known?.incarnation === target.incarnation) return known.registeredAt;
  const retired = state.retiredTargets.get(composeTargetKey(target));
  if (retired !== undefined && !canRegisterAgain(retired.reason, known)) {
    return retired.registeredAt;
  }
  if (known !== undefined) {
    removeTarget(state, known, RetirementReason.Replaced, entry);
  }
  state.targets.set(target.targetId, { ...target, registeredAt: entry.index });
  state.version = entry.index;
  return entry.index;
}

/** Takes a run of a sidecar that stops off the roster; it stays a witness of the jobs claimed before. */
export function retireTarget(
  state: RosterState,
  target: TargetIdentity,
  entry: EntryMetadata,
): void {
  const known = state.targets.get(target.targetId);
  if (known?.incarnation !== target.incarnation) return;
  removeTarget(state, known, RetirementReason.Left, entry);
}

/** Takes runs whose lease has passed off the roster. Runs that registered again since the decision stay. */
export function expireRuns(
  state: RosterState,
  expired: ExpiredRuns,
  entry: EntryMetadata,
): void {
  for (const run of expired.dispatchers) {
    const known = state.dispatchers.get(run.dispatcherId);
    if (known?.incarnation !== run.incarnation) continue;
    if (known.registeredAt !== run.registeredAt) continue;
    removeDispatcher(state, known, RetirementReason.Expired, entry);
  }
  for (const run of expired.targets) {
    const known = state.targets.get(run.targetId);
    if (known?.incarnation !== run.incarnation) continue;
    if (known.registeredAt !== run.registeredAt) continue;
    removeTarget(state, known, RetirementReason.Expired, entry);
  }
}

/** Forgets retired runs whose retention has passed, and the oldest ones above the bound. */
export function dropRetiredRuns(
  state: RosterState,
  retention: RosterRetention,
  now: Milliseconds,
): void {
  const cutoff = now - retention.retiredMilliseconds;
  const { retiredTargets, retiredDispatchers } = state;
  for (const [key, run] of retiredTargets) {
    const isOverLimit = retiredTargets.size > retention.maximumRetired;
    if (run.retiredTime >= cutoff && !isOverLimit) break;
    retiredTargets.delete(key);
    state.forgottenUpTo = run.retiredAt;
  }
  for (const [key, run] of retiredDispatchers) {
    const isOverLimit = retiredDispatchers.size > retention.maximumRetired;
    if (run.retiredTime >= cutoff && !isOverLimit) break;
    retiredDispatchers.delete(key);
  }
}

/** A run that expired may return, unless another run took its name meanwhile. */
function canRegisterAgain(
  reason: RetirementReason,
  replacement: unknown,
): boolean {
  return reason === RetirementReason.Expired && replacement === undefined;
}

function removeDispatcher(
  state: RosterState,
  { dispatcherId, incarnation, registeredAt }: RegisteredDispatcher,
  reason: RetirementReason,
  entry: EntryMetadata,
): void {
  const key = composeDispatcherKey({ dispatcherId, incarnation });
  state.dispatchers.delete(dispatcherId);
  state.retiredDispatchers.delete(key);
  state.retiredDispatchers.set(key, {
    dispatcherId,
    incarnation,
    reason,
    registeredAt,
    retiredTime: entry.leaderTime,
  });
  state.version = entry.index;
}

function removeTarget(
  state: RosterState,
  { targetId, incarnation, service, registeredAt }: TargetRecord,
  reason: RetirementReason,
  entry: EntryMetadata,
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
    retiredAt: entry.index,
    retiredTime: entry.leaderTime,
  });
  state.version = entry.index;
}

/** Applies committed registrations, retirements and expiries to the roster. A run is one process lifetime. */
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

/** Registration of a dispatcher run. The log index distinguishes repeated registrations of a run. */
export interface DispatcherRegistration extends DispatcherIdentity {
  readonly registeredAt: LogIndex;
}

/** Registration of a sidecar run. The log index distinguishes repeated registrations of a run. */
export interface TargetRegistration extends TargetIdentity {
  readonly registeredAt: LogIndex;
}

/** Runs whose lease has expired. */
export interface ExpiredRuns {
  readonly dispatchers: readonly DispatcherRegistration[];
  readonly targets: readonly TargetRegistration[];
}

/** Registers a dispatcher run and retires the previous run. Idempotent. Returns the log index of the registration. */
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
  const { dispatcherId, incarnation, address, processors } = dispatcher;
  state.dispatchers.set(dispatcherId, {
    dispatcherId,
    incarnation,
    address,
    registeredAt: entry.index,
    ...(processors === undefined ? {} : { processors }),
    ...(known === undefined ? {} : { replacesRun: true }),
  });
  state.version = entry.index;
  return entry.index;
}

/** Removes a dispatcher run that is stopping from the roster. */
export function retireDispatcher(
  state: RosterState,
  dispatcher: DispatcherIdentity,
  entry: EntryMetadata,
): void {
  const known = state.dispatchers.get(dispatcher.dispatcherId);
  if (known?.incarnation !== dispatcher.incarnation) return;
  removeDispatcher(state, known, RetirementReason.Left, entry);
}

/** Registers a sidecar run and retires the previous run. Idempotent. Returns the log index of the registration. */
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

/** Removes a sidecar run that is stopping from the roster. The run stays a witness for jobs claimed earlier. */
export function retireTarget(
  state: RosterState,
  target: TargetIdentity,
  entry: EntryMetadata,
): void {
  const known = state.targets.get(target.targetId);
  if (known?.incarnation !== target.incarnation) return;
  removeTarget(state, known, RetirementReason.Left, entry);
}

/** Removes runs with an expired lease from the roster, except runs that registered again since the expiry was proposed. */
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

/** Drops retired runs whose retention has passed, and the oldest ones above the maximum number. */
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

/** An expired run may register again unless another run registered under its name meanwhile. */
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
  // Deleted first so that the map stays in order of retirement.
  state.retiredTargets.delete(key);
  state.retiredTargets.set(key, {
    targetId,
    incarnation,
    service,
    reason,
    // A run that registered again stays a witness from its first registration on.
    registeredAt: earlier?.registeredAt ?? registeredAt,
    retiredAt: entry.index,
    retiredTime: entry.leaderTime,
  });
  state.version = entry.index;
}

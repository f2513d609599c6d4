/** The roster as built from committed registrations, with the runs that were retired not long ago. */
import type {
  DispatcherId,
  DispatcherIdentity,
  DispatcherRecord,
  Incarnation,
  LogIndex,
  Milliseconds,
  NetworkAddress,
  Roster,
  RosterChanges,
  ServiceName,
  TargetId,
  TargetIdentity,
  TargetRecord,
} from '@cranberryturn/types';

/** Why a run is off the roster. */
export enum RetirementReason {
  /** Its process said that it stops. */
  Left = 'left',
  /** A later run of the same name was registered. */
  Replaced = 'replaced',
  /** Nobody heard it for its lease. It may still run, and may register again. */
  Expired = 'expired',
}

/** A run of a sidecar that is off the roster. */
export interface RetiredTarget extends TargetIdentity {
  readonly service: ServiceName;
  readonly reason: RetirementReason;
  /** Position of its first registration. */
  readonly registeredAt: LogIndex;
  readonly retiredAt: LogIndex;
  readonly retiredTime: Milliseconds;
}

/** A run of a dispatcher that is off the roster. */
export interface RetiredDispatcher extends DispatcherIdentity {
  readonly reason: RetirementReason;
  readonly registeredAt: LogIndex;
  readonly retiredTime: Milliseconds;
}

/** A dispatcher with the position at which its run was registered. */
export interface RegisteredDispatcher extends DispatcherRecord {
  readonly registeredAt: LogIndex;
}

/** How long retired runs are remembered. */
export interface RosterRetention {
  /** At least as long as any claim is kept. */
  readonly retiredMilliseconds: Milliseconds;
  readonly maximumRetired: number;
}

/** Retention used when the settings name none. */
export const defaultRosterRetention: RosterRetention = {
  retiredMilliseconds: 3_600_000,
  maximumRetired: 50_000,
};

/** The roster and the retired runs. */
export interface RosterState {
  version: number;
  readonly dispatchers: Map<DispatcherId, RegisteredDispatcher>;
  readonly targets: Map<TargetId, TargetRecord>;
  /** Runs by target and incarnation, in order of retirement. */
  readonly retiredTargets: Map<string, RetiredTarget>;
  readonly retiredDispatchers: Map<string, RetiredDispatcher>;
  /** Runs retired up to here are forgotten. */
  forgottenUpTo: LogIndex;
}

/** A roster state as plain data. */
export interface RosterSnapshot {
  readonly version: number;
  readonly dispatchers: readonly RegisteredDispatcher[];
  readonly targets: readonly TargetRecord[];
  readonly retiredTargets: readonly RetiredTarget[];
  readonly retiredDispatchers: readonly RetiredDispatcher[];
  readonly forgottenUpTo: LogIndex;
}

/** Position and time of a committed entry. */
export interface EntryMetadata {
  readonly index: LogIndex;
  readonly leaderTime: Milliseconds;
}

/** Stands for runs that were forgotten; nobody can reach it, so the fate of their tasks stays unknown. */
export const forgottenRun: TargetIdentity = {
  targetId: 'forgotten runs',
  incarnation: 'forgotten',
};

/** Creates an empty roster. */
export function createRosterState(): RosterState {
  return {
    version: 0,
    dispatchers: new Map(),
    targets: new Map(),
    retiredTargets: new Map(),
    retiredDispatchers: new Map(),
    forgottenUpTo: 0,
  };
}

/** Copies a roster into plain data. */
export function captureRosterState(state: RosterState): RosterSnapshot {
  return {
    version: state.version,
    dispatchers: [...state.dispatchers.values()],
    targets: [...state.targets.values()],
    retiredTargets: [...state.retiredTargets.values()],
    retiredDispatchers: [...state.retiredDispatchers.values()],
    forgottenUpTo: state.forgottenUpTo,
  };
}

/** Builds a roster from plain data. */
export function restoreRosterState(snapshot: RosterSnapshot): RosterState {
  const { version, forgottenUpTo } = snapshot;
  return {
    version,
    forgottenUpTo,
    dispatchers: new Map(
      snapshot.dispatchers.map(record => [record.dispatcherId, record]),
    ),
    targets: new Map(snapshot.targets.map(record => [record.targetId, record])),
    retiredTargets: new Map(
      snapshot.retiredTargets.map(run => [composeTargetKey(run), run]),
    ),
    retiredDispatchers: new Map(
      snapshot.retiredDispatchers.map(run => [composeDispatcherKey(run), run]),
    ),
  };
}

/** Address of an owner; undefined when that run is not the registered one. */
export function findDispatcherAddress(
  state: RosterState,
  owner: DispatcherIdentity,
): NetworkAddress | undefined {
  const known = state.dispatchers.get(owner.dispatcherId);
  return known?.incarnation === owner.incarnation ? known.address : undefined;
}

/** Runs of a service that were not retired before `since` and were registered up to `until`. */
export function listWitnesses(
  state: RosterState,
  service: ServiceName,
  since: LogIndex,
  until: LogIndex,
): TargetIdentity[] {
  const runs = [
    ...state.targets.values(),
    ...[...state.retiredTargets.values()].filter(run => run.retiredAt >= since),
  ];
  // A run that registered again after its lease had expired is in both lists.
  const witnesses = new Map<string, TargetIdentity>();
  for (const run of runs) {
    if (run.service !== service || run.registeredAt > until) continue;
    const { targetId, incarnation } = run;
    witnesses.set(composeTargetKey(run), { targetId, incarnation });
  }
  const known = [...witnesses.values()];
  return state.forgottenUpTo >= since ? [...known, forgottenRun] : known;
}

/** The roster as followers see it. */
export function composeRoster(state: RosterState): Roster {
  return {
    version: state.version,
    dispatchers: listDispatchers(state),
    targets: [...state.targets.values()],
  };
}

/** What changed after `since`; undefined when that is too long ago to tell. */
export function composeRosterChanges(
  state: RosterState,
  since: number,
): RosterChanges | undefined {
  if (since === 0 || since > state.version) return undefined;
  if (state.forgottenUpTo > since) return undefined;
  return {
    baseVersion: since,
    version: state.version,
    dispatchers: listDispatchers(state),
    registered: [...state.targets.values()].filter(
      target => target.registeredAt > since,
    ),
    retired: [...state.retiredTargets.values()]
      .filter(run => run.retiredAt > since)
      .map(({ targetId, incarnation }) => ({ targetId, incarnation })),
  };
}

function listDispatchers(state: RosterState): readonly DispatcherRecord[] {
  return [...state.dispatchers.values()].map(
    ({ dispatcherId, incarnation, address, replacesRun }) => ({
      dispatcherId,
      incarnation,
      address,
      ...(replacesRun === undefined ? {} : { replacesRun }),
    }),
  );
}

/** Names one run of a sidecar. */
export function composeTargetKey(run: TargetIdentity): string {
  return composeRunKey(run.targetId, run.incarnation);
}

/** Names one run of a dispatcher. */
export function composeDispatcherKey(run: DispatcherIdentity): string {
  return composeRunKey(run.dispatcherId, run.incarnation);
}

function composeRunKey(name: string, incarnation: Incarnation): string {
  return `${name} ${incarnation}`;
}

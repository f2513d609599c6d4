/** Roster state built from committed registrations, including recently retired runs. */
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

/** Why a run was retired from the roster. */
export enum RetirementReason {
  /** The process announced its stop. */
  Left = 'left',
  /** A later run was registered under the same name. */
  Replaced = 'replaced',
  /** The run was silent for longer than its lease. The process may still run, and may register again. */
  Expired = 'expired',
}

/** Retired run of a sidecar. */
export interface RetiredTarget extends TargetIdentity {
  readonly service: ServiceName;
  readonly reason: RetirementReason;
  /** Log index of the first registration of the run. */
  readonly registeredAt: LogIndex;
  readonly retiredAt: LogIndex;
  readonly retiredTime: Milliseconds;
}

/** Retired run of a dispatcher. */
export interface RetiredDispatcher extends DispatcherIdentity {
  readonly reason: RetirementReason;
  readonly registeredAt: LogIndex;
  readonly retiredTime: Milliseconds;
}

/** Dispatcher with the log index at which its run was registered. */
export interface RegisteredDispatcher extends DispatcherRecord {
  readonly registeredAt: LogIndex;
}

/** Retention of retired runs. */
export interface RosterRetention {
  /** Must be at least the longest retention of a claim, so that witnesses of claimed jobs stay known. */
  readonly retiredMilliseconds: Milliseconds;
  readonly maximumRetired: number;
}

/** Retention used when the settings set none. */
export const defaultRosterRetention: RosterRetention = {
  retiredMilliseconds: 3_600_000,
  maximumRetired: 50_000,
};

/** Roster and retired runs. The version is the log index of the last change. */
export interface RosterState {
  version: number;
  readonly dispatchers: Map<DispatcherId, RegisteredDispatcher>;
  readonly targets: Map<TargetId, TargetRecord>;
  /** Keyed by target and incarnation, in order of retirement. */
  readonly retiredTargets: Map<string, RetiredTarget>;
  readonly retiredDispatchers: Map<string, RetiredDispatcher>;
  /** Target runs retired up to this log index may have been dropped. */
  forgottenUpTo: LogIndex;
}

/** Serializable snapshot of a roster state. */
export interface RosterSnapshot {
  readonly version: number;
  readonly dispatchers: readonly RegisteredDispatcher[];
  readonly targets: readonly TargetRecord[];
  readonly retiredTargets: readonly RetiredTarget[];
  readonly retiredDispatchers: readonly RetiredDispatcher[];
  readonly forgottenUpTo: LogIndex;
}

/** Log index and leader time of a committed entry. */
export interface EntryMetadata {
  readonly index: LogIndex;
  readonly leaderTime: Milliseconds;
}

/** Placeholder for dropped runs. This target is unreachable, so the state of their tasks stays unknown. */
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

/** Returns a serializable snapshot of a roster. */
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

/** Restores a roster from a snapshot. */
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

/** Returns the address of a dispatcher run; undefined unless the run is the registered one. */
export function findDispatcherAddress(
  state: RosterState,
  owner: DispatcherIdentity,
): NetworkAddress | undefined {
  const known = state.dispatchers.get(owner.dispatcherId);
  return known?.incarnation === owner.incarnation ? known.address : undefined;
}

/**
 * Returns the sidecar runs of a service that may have started tasks of a job claimed at `since`:
 * registered up to `until` and not retired before `since`. Includes `forgottenRun` when such runs
 * may have been dropped.
 */
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
  // A run that registered again after its lease expired is in both lists.
  const witnesses = new Map<string, TargetIdentity>();
  for (const run of runs) {
    if (run.service !== service || run.registeredAt > until) continue;
    const { targetId, incarnation } = run;
    witnesses.set(composeTargetKey(run), { targetId, incarnation });
  }
  const known = [...witnesses.values()];
  return state.forgottenUpTo >= since ? [...known, forgottenRun] : known;
}

/** Returns the roster that followers receive. */
export function composeRoster(state: RosterState): Roster {
  return {
    version: state.version,
    dispatchers: listDispatchers(state),
    targets: [...state.targets.values()],
  };
}

/** Returns the changes after version `since`; undefined when `since` is 0, too old, or newer than this state. */
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
    ({ dispatcherId, incarnation, address, replacesRun, processors }) => ({
      dispatcherId,
      incarnation,
      address,
      ...(processors === undefined ? {} : { processors }),
      ...(replacesRun === undefined ? {} : { replacesRun }),
    }),
  );
}

/** Returns the map key of a sidecar run. */
export function composeTargetKey(run: TargetIdentity): string {
  return composeRunKey(run.targetId, run.incarnation);
}

/** Returns the map key of a dispatcher run. */
export function composeDispatcherKey(run: DispatcherIdentity): string {
  return composeRunKey(run.dispatcherId, run.incarnation);
}

function composeRunKey(name: string, incarnation: Incarnation): string {
  return `${name} ${incarnation}`;
}

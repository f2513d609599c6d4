/**
 * Replicated state of the configuration, its history and the outcomes of
 * confirmations. Built from committed operations only.
 */
import {
  type ClusterConfiguration,
  type ConfigurationChange,
  type ConfigurationVersion,
  emptyConfiguration,
  type Milliseconds,
} from '@cranberryturn/types';

const maximumHistoryChanges = 5_000;
const maximumOutcomes = 10_000;
const outcomeRetentionMilliseconds: Milliseconds = 86_400_000;

/** Kinds of outcome of a confirmation. */
export enum ConfirmOutcomeKind {
  /** The change was accepted and made the version in it. */
  Accepted = 'accepted',
  /** Another change was accepted on the same base version first. */
  Conflict = 'conflict',
  /** The plan is not valid and was not applied; a retry gets the same outcome. */
  Rejected = 'rejected',
}

/** Outcome of a confirmation. */
export type ConfirmOutcome =
  | {
      readonly kind: ConfirmOutcomeKind.Accepted;
      readonly change: ConfigurationChange;
    }
  | {
      readonly kind: ConfirmOutcomeKind.Conflict;
      readonly currentVersion: ConfigurationVersion;
      /** The change that was accepted instead; undefined when the history no longer holds it. */
      readonly winner?: ConfigurationChange | undefined;
    }
  | { readonly kind: ConfirmOutcomeKind.Rejected; readonly reason: string };

/** Outcome of the first confirmation with a request identifier; retries with the identifier return it. */
export interface RecordedOutcome {
  readonly requestId: string;
  readonly planId: string;
  readonly at: Milliseconds;
  readonly outcome: ConfirmOutcome;
}

/** Mutable state of the configuration on one control replica. */
export interface ConfigurationState {
  configuration: ClusterConfiguration;
  /** Accepted changes, oldest first, without gaps. */
  history: ConfigurationChange[];
  /** Outcomes by request identifier, oldest first. */
  readonly outcomes: Map<string, RecordedOutcome>;
}

/** The state as plain data, as stored in snapshots. */
export interface ConfigurationSnapshot {
  readonly configuration: ClusterConfiguration;
  readonly history: readonly ConfigurationChange[];
  readonly outcomes: readonly RecordedOutcome[];
}

/** Creates the state with the empty configuration. */
export function createConfigurationState(): ConfigurationState {
  return {
    configuration: emptyConfiguration,
    history: [],
    outcomes: new Map(),
  };
}

/** Captures the state for a snapshot. */
export function captureConfigurationState(
  state: ConfigurationState,
): ConfigurationSnapshot {
  return {
    configuration: state.configuration,
    history: state.history,
    outcomes: [...state.outcomes.values()],
  };
}

/** Restores the state from a snapshot. */
export function restoreConfigurationState(
  snapshot: ConfigurationSnapshot,
): ConfigurationState {
  return {
    configuration: snapshot.configuration,
    history: [...snapshot.history],
    outcomes: new Map(
      snapshot.outcomes.map(recorded => [recorded.requestId, recorded]),
    ),
  };
}

/**
 * Lists the changes after the version `since`, oldest first; undefined when the
 * history does not reach back that far or `since` is in the future.
 */
export function listChangesSince(
  state: ConfigurationState,
  since: ConfigurationVersion,
): readonly ConfigurationChange[] | undefined {
  const missingCount = state.configuration.version - since;
  if (missingCount < 0 || missingCount > state.history.length) return undefined;
  return missingCount === 0 ? [] : state.history.slice(-missingCount);
}

/** Finds the change that created a version; undefined when the history does not hold it. */
export function findChange(
  state: ConfigurationState,
  version: ConfigurationVersion,
): ConfigurationChange | undefined {
  const oldest = state.history.at(0);
  return oldest === undefined
    ? undefined
    : state.history[version - oldest.version];
}

/** Drops the oldest changes and outcomes above their limits, and outcomes older than a day. */
export function trimConfigurationState(
  state: ConfigurationState,
  now: Milliseconds,
): void {
  if (state.history.length > maximumHistoryChanges) {
    state.history = state.history.slice(-maximumHistoryChanges);
  }
  for (const [requestId, recorded] of state.outcomes) {
    const isExpired = recorded.at < now - outcomeRetentionMilliseconds;
    if (!isExpired && state.outcomes.size <= maximumOutcomes) return;
    state.outcomes.delete(requestId);
  }
}

/** The configuration with its history and the outcomes of confirms, built from committed operations only. */
import {
  type ClusterConfiguration,
  type ConfigurationChange,
  type ConfigurationVersion,
  emptyConfiguration,
  type Milliseconds,
} from '@cranberryturn/types';

const maximumHistory = 5_000;
const maximumOutcomes = 10_000;
const outcomeRetention: Milliseconds = 86_400_000;

/** The kinds of outcome of a confirm. */
export enum ConfirmOutcomeKind {
  /** The change was accepted at this version. */
  Accepted = 'accepted',
  /** Another change was accepted on the same base version first. */
  Conflict = 'conflict',
  /** The plan is not valid; nothing was changed and nothing will be. */
  Rejected = 'rejected',
}

/** What became of a confirm. */
export type ConfirmOutcome =
  | {
      readonly kind: ConfirmOutcomeKind.Accepted;
      readonly change: ConfigurationChange;
    }
  | {
      readonly kind: ConfirmOutcomeKind.Conflict;
      readonly currentVersion: ConfigurationVersion;
      /** The change that won; undefined when the history no longer holds it. */
      readonly winner?: ConfigurationChange | undefined;
    }
  | { readonly kind: ConfirmOutcomeKind.Rejected; readonly reason: string };

/** The first outcome given to one request identifier. */
export interface RecordedOutcome {
  readonly requestId: string;
  readonly planId: string;
  readonly at: Milliseconds;
  readonly outcome: ConfirmOutcome;
}

/** The state. */
export interface ConfigurationState {
  configuration: ClusterConfiguration;
  /** Accepted changes, oldest first, without gaps. */
  history: ConfigurationChange[];
  /** Outcomes by request identifier, oldest first. */
  readonly outcomes: Map<string, RecordedOutcome>;
}

/** The state as plain data. */
export interface ConfigurationSnapshot {
  readonly configuration: ClusterConfiguration;
  readonly history: readonly ConfigurationChange[];
  readonly outcomes: readonly RecordedOutcome[];
}

/** Creates the state before the first change. */
export function createConfigurationState(): ConfigurationState {
  return {
    configuration: emptyConfiguration,
    history: [],
    outcomes: new Map(),
  };
}

/** Copies the state into plain data. */
export function captureConfigurationState(
  state: ConfigurationState,
): ConfigurationSnapshot {
  return {
    configuration: state.configuration,
    history: state.history,
    outcomes: [...state.outcomes.values()],
  };
}

/** Builds the state from plain data. */
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

/** Changes after `since`, oldest first; undefined when the history does not reach back so far. */
export function listChangesSince(
  state: ConfigurationState,
  since: ConfigurationVersion,
): readonly ConfigurationChange[] | undefined {
  const missing = state.configuration.version - since;
  if (missing < 0 || missing > state.history.length) return undefined;
  return missing === 0 ? [] : state.history.slice(-missing);
}

/** Finds the change that made a version; undefined when the history does not hold it. */
export function findChange(
  state: ConfigurationState,
  version: ConfigurationVersion,
): ConfigurationChange | undefined {
  const first = state.history.at(0);
  return first === undefined
    ? undefined
    : state.history[version - first.version];
}

/** Drops the oldest changes and outcomes above their bounds, and outcomes older than a day. */
export function trimConfigurationState(
  state: ConfigurationState,
  now: Milliseconds,
): void {
  if (state.history.length > maximumHistory) {
    state.history = state.history.slice(-maximumHistory);
  }
  for (const [requestId, recorded] of state.outcomes) {
    const old = recorded.at < now - outcomeRetention;
    if (!old && state.outcomes.size <= maximumOutcomes) return;
    state.outcomes.delete(requestId);
  }
}

/** Holds the latest versions of the configuration and the roster; neither ever goes back. */
import {
  applyConfigurationChanges,
  type ConfigurationFeed,
} from '@cranberryturn/configuration';
import { applyRosterChanges, type RosterFeed } from '@cranberryturn/membership';
import {
  type ClusterConfiguration,
  emptyConfiguration,
  type NetworkAddress,
  noPublication,
  type Publication,
  type ReplicaId,
  type Roster,
} from '@cranberryturn/types';
import { type ControlNotice, ControlNoticeKind } from '@cranberryturn/wire';

/** The latest versions, with both feeds. */
export interface LatestState {
  readonly configuration: ConfigurationFeed;
  readonly roster: RosterFeed;
  readonly publication: PublicationFeed;
  readonly controlHosts: ControlHostFeed;
  /** Takes a notice; returns false when it does not follow what is held, so that everything must be sent again. */
  take(notice: ControlNotice): boolean;
}

/** The publication in force as this process knows it. */
export interface PublicationFeed {
  current(): Publication;
  /** Calls the listener with each later publication. Returns a function that ends this. */
  subscribe(listener: (publication: Publication) => void): () => void;
}

/** Addresses of the members of the replicated log, where control tells them. */
export interface ControlHostFeed {
  current(): readonly NetworkAddress[];
  subscribe(listener: () => void): () => void;
}

interface Versioned {
  readonly version: number;
}

interface Held<Value extends Versioned> {
  current: Value;
  readonly listeners: Set<(value: Value) => void>;
}

/** Creates the holder with nothing known. */
export function holdLatest(): LatestState {
  const configuration = createHeld<ClusterConfiguration>(emptyConfiguration);
  const roster = createHeld<Roster>({
    version: 0,
    dispatchers: [],
    targets: [],
  });

  const publication = createHeld<Publication>(noPublication);
  let controlHosts: readonly NetworkAddress[] = [];
  const hostListeners = new Set<() => void>();

  const setLeader = (leader: ReplicaId | undefined): void => {
    if (roster.current.leader === leader) return;
    roster.current = { ...roster.current, leader };
  };

  const take = (notice: ControlNotice): boolean => {
    switch (notice.kind) {
      case ControlNoticeKind.Configuration:
        return replace(configuration, notice.configuration);
      case ControlNoticeKind.ConfigurationChanges:
        return replace(
          configuration,
          applyConfigurationChanges(configuration.current, notice.changes),
        );
      case ControlNoticeKind.Roster:
        return replace(roster, {
          ...notice.roster,
          leader: roster.current.leader,
        });
      case ControlNoticeKind.RosterChanges:
        if (notice.changes.version <= roster.current.version) return true;
        return replace(
          roster,
          applyRosterChanges(roster.current, notice.changes),
        );
      case ControlNoticeKind.Publication:
        return replace(publication, notice.publication);
      case ControlNoticeKind.ControlHosts:
        controlHosts = notice.addresses;
        for (const listener of hostListeners) listener();
        return true;
      case ControlNoticeKind.Freshness:
        setLeader(notice.leader);
        return true;
    }
  };

  return {
    configuration: toFeed(configuration),
    roster: toFeed(roster),
    publication: toFeed(publication),
    controlHosts: {
      current: () => controlHosts,
      subscribe: listener => {
        hostListeners.add(listener);
        return () => void hostListeners.delete(listener);
      },
    },
    take,
  };
}

function createHeld<Value extends Versioned>(first: Value): Held<Value> {
  return { current: first, listeners: new Set() };
}

function replace<Value extends Versioned>(
  held: Held<Value>,
  next: Value | undefined,
): boolean {
  if (next === undefined) return false;
  if (next.version <= held.current.version) return true;
  held.current = next;
  for (const listener of held.listeners) listener(next);
  return true;
}

function toFeed<Value extends Versioned>(held: Held<Value>) {
  return {
    current: (): Value => held.current,
    subscribe: (listener: (value: Value) => void): (() => void) => {
      held.listeners.add(listener);
      return () => void held.listeners.delete(listener);
    },
  };
}

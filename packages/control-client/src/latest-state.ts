/** Holds the latest configuration, roster, publication and evacuations from control. Versions never go back. */
import {
  applyConfigurationChanges,
  type ConfigurationFeed,
} from '@cranberryturn/configuration';
import { applyRosterChanges, type RosterFeed } from '@cranberryturn/membership';
import {
  type ClusterConfiguration,
  emptyConfiguration,
  type EvacuationState,
  type NetworkAddress,
  noEvacuations,
  noPublication,
  type Publication,
  type ReplicaId,
  type Roster,
} from '@cranberryturn/types';
import { type ControlNotice, ControlNoticeKind } from '@cranberryturn/wire';

/** The latest state, as feeds to subscribe to. */
export interface LatestState {
  readonly configuration: ConfigurationFeed;
  readonly roster: RosterFeed;
  readonly publication: PublicationFeed;
  readonly evacuations: EvacuationFeed;
  readonly controlHosts: ControlHostFeed;
  /**
   * Applies a notice. Returns false when its changes do not follow the held version; the full state
   * must then be requested.
   */
  applyNotice(notice: ControlNotice): boolean;
}

/** The latest publication that this process has received. */
export interface PublicationFeed {
  current(): Publication;
  /** Calls the listener with each later publication. Returns a function that unsubscribes. */
  subscribe(listener: (publication: Publication) => void): () => void;
}

/** The latest evacuation state that this process has received. */
export interface EvacuationFeed {
  current(): EvacuationState;
  /** Calls the listener with each later state. Returns a function that unsubscribes. */
  subscribe(listener: (state: EvacuationState) => void): () => void;
}

/** Addresses of the members of the log; empty until control sends them. */
export interface ControlHostFeed {
  current(): readonly NetworkAddress[];
  subscribe(listener: () => void): () => void;
}

interface Versioned {
  readonly version: number;
}

interface FeedState<Value extends Versioned> {
  current: Value;
  readonly listeners: Set<(value: Value) => void>;
}

/** Creates an empty state, with version 0 of everything. */
export function createLatestState(): LatestState {
  const configuration =
    createFeedState<ClusterConfiguration>(emptyConfiguration);
  const roster = createFeedState<Roster>({
    version: 0,
    dispatchers: [],
    targets: [],
  });

  const publication = createFeedState<Publication>(noPublication);
  const evacuations = createFeedState<EvacuationState>(noEvacuations);
  let controlHosts: readonly NetworkAddress[] = [];
  const hostListeners = new Set<() => void>();

  const setLeader = (leader: ReplicaId | undefined): void => {
    if (roster.current.leader === leader) return;
    roster.current = { ...roster.current, leader };
  };

  const applyNotice = (notice: ControlNotice): boolean => {
    switch (notice.kind) {
      case ControlNoticeKind.Configuration:
        return updateFeed(configuration, notice.configuration);
      case ControlNoticeKind.ConfigurationChanges:
        return updateFeed(
          configuration,
          applyConfigurationChanges(configuration.current, notice.changes),
        );
      case ControlNoticeKind.Roster:
        return updateFeed(roster, {
          ...notice.roster,
          leader: roster.current.leader,
        });
      case ControlNoticeKind.RosterChanges:
        if (notice.changes.version <= roster.current.version) return true;
        return updateFeed(
          roster,
          applyRosterChanges(roster.current, notice.changes),
        );
      case ControlNoticeKind.Publication:
        return updateFeed(publication, notice.publication);
      case ControlNoticeKind.ControlHosts:
        controlHosts = notice.addresses;
        for (const listener of hostListeners) listener();
        return true;
      case ControlNoticeKind.Evacuations:
        return updateFeed(evacuations, notice.state);
      case ControlNoticeKind.Freshness:
        setLeader(notice.leader);
        return true;
    }
  };

  return {
    configuration: createFeed(configuration),
    roster: createFeed(roster),
    publication: createFeed(publication),
    evacuations: createFeed(evacuations),
    controlHosts: {
      current: () => controlHosts,
      subscribe: listener => {
        hostListeners.add(listener);
        return () => void hostListeners.delete(listener);
      },
    },
    applyNotice,
  };
}

function createFeedState<Value extends Versioned>(
  first: Value,
): FeedState<Value> {
  return { current: first, listeners: new Set() };
}

function updateFeed<Value extends Versioned>(
  feed: FeedState<Value>,
  next: Value | undefined,
): boolean {
  if (next === undefined) return false;
  if (next.version <= feed.current.version) return true;
  feed.current = next;
  for (const listener of feed.listeners) listener(next);
  return true;
}

function createFeed<Value extends Versioned>(feed: FeedState<Value>) {
  return {
    current: (): Value => feed.current,
    subscribe: (listener: (value: Value) => void): (() => void) => {
      feed.listeners.add(listener);
      return () => void feed.listeners.delete(listener);
    },
  };
}

/**
 * Sends state updates and proofs of leadership to followers. A follower here is a dispatcher that
 * watches this control replica, not a replica of the log.
 */
import { listChangesSince } from '@cranberryturn/configuration';
import { composeRoster, composeRosterChanges } from '@cranberryturn/membership';
import type { LogStatus, Member } from '@cranberryturn/replicated-log';
import {
  type TimerService,
  type TimerSubscription,
  watchPauses,
} from '@cranberryturn/timers';
import type {
  EvacuationVersion,
  LogIndex,
  Milliseconds,
  Roster,
} from '@cranberryturn/types';
import {
  type ControlNotice,
  ControlNoticeKind,
  maximumProofAge,
  type RemoteCalls,
} from '@cranberryturn/wire';

import type { ControlState } from './control-state.js';
import { listDurableHosts } from './list-durable-hosts.js';

const freshnessIntervalMilliseconds: Milliseconds = 500;
const coalescingDelayMilliseconds: Milliseconds = 10;
const minimumPauseMilliseconds: Milliseconds = 1_000;
const maximumDeltaChanges = 200;
/** Entries that were on their way when the leader was proved arrive within a few of these. */
const catchUpIntervalMilliseconds: Milliseconds = 20;

/** The update feed of one control replica. */
export interface FollowerFeed {
  /** Adds a follower, or resets it to the versions that it already has. */
  addFollower(calls: RemoteCalls, versions: FollowerVersions): void;
  removeFollower(calls: RemoteCalls): void;
  /** Schedules an update of all followers; call after each possible change of the state. */
  scheduleUpdate(): void;
  appliedIndex(): LogIndex;
  followers(): number;
  stop(): void;
}

/** The versions that a follower already has; -1 asks for everything. */
export interface FollowerVersions {
  readonly configurationVersion: number;
  readonly rosterVersion: number;
  readonly publicationVersion: number;
  /** Undefined from followers of versions that know no evacuations. */
  readonly evacuationVersion?: EvacuationVersion | undefined;
}

interface Follower {
  readonly calls: RemoteCalls;
  configurationVersion: number;
  rosterVersion: number;
  publicationVersion: number;
  evacuationVersion: EvacuationVersion | undefined;
  /** Member list that was last sent to the follower. */
  members: readonly Member[] | undefined;
}

/**
 * Creates the feed of a replica. Updates stop while no leader with a majority is proved within
 * `maximumProofAge`, or entries that were committed by then are still on their way to this replica.
 * Followers take a fresh proof to cover the state that they hold, so updates go ahead of it.
 */
export function createFollowerFeed(options: {
  readonly timers: TimerService;
  readonly state: ControlState;
  readonly status: () => LogStatus;
}): FollowerFeed {
  const { timers, state, status } = options;
  const followers = new Map<RemoteCalls, Follower>();
  let pendingUpdate: TimerSubscription | undefined;
  /** Whether followers wait for a proof that they would have received with an update. */
  let isHeldBack = false;
  let roster: Roster = composeRoster(state.roster);

  const pauses = watchPauses(timers, minimumPauseMilliseconds);

  const computeAge = (provedAt: Milliseconds | undefined): Milliseconds =>
    provedAt === undefined ? Infinity : timers.now() - provedAt;

  /**
   * After a pause of this process, heartbeats that arrived meanwhile look recent; a proof from them is
   * too old once it could have been renewed.
   */
  const computeProofAge = (): Milliseconds => {
    if (pauses.hasPausedSince(timers.now() - maximumProofAge)) return Infinity;
    return computeAge(status().stateProvedAt);
  };

  const readRoster = (): Roster => {
    if (roster.version !== state.roster.version) {
      roster = composeRoster(state.roster);
    }
    return roster;
  };

  const sendState = (follower: Follower): void => {
    sendEvacuations(follower, state);
    sendConfiguration(follower, state);
    sendRoster(follower, state, readRoster);
    sendPublication(follower, state);
    sendMembers(follower, status().members);
  };

  const holdBack = (): void => {
    isHeldBack = true;
    if (computeAge(status().leadershipProvedAt) > maximumProofAge) return;
    pendingUpdate ??= timers.after(catchUpIntervalMilliseconds, updateAll);
  };

  const sendUpdates = (): void => {
    if (computeProofAge() > maximumProofAge) {
      holdBack();
      return;
    }
    for (const follower of followers.values()) sendState(follower);
    if (!isHeldBack) return;
    isHeldBack = false;
    sendFreshness();
  };

  const updateAll = (): void => {
    pendingUpdate = undefined;
    sendUpdates();
  };

  const scheduleUpdate = (): void => {
    if (followers.size === 0) return;
    pendingUpdate ??= timers.after(coalescingDelayMilliseconds, updateAll);
  };

  const composeFreshness = (): ControlNotice => ({
    kind: ControlNoticeKind.Freshness,
    // A leader that is the only voter states a proof slightly ahead of the clock of its followers.
    proofAgeMilliseconds: Math.ceil(
      Math.max(0, Math.min(computeProofAge(), Number.MAX_SAFE_INTEGER)),
    ),
    configurationVersion: state.configuration.configuration.version,
    leader: status().leader,
  });

  const sendFreshness = (): void => {
    const notice = composeFreshness();
    for (const { calls } of followers.values()) calls.notify(notice);
  };

  const heartbeat = timers.every(freshnessIntervalMilliseconds, () => {
    isHeldBack = false;
    sendUpdates();
    sendFreshness();
  });

  return {
    addFollower: (calls, versions) => {
      const follower: Follower = {
        calls,
        configurationVersion: versions.configurationVersion,
        rosterVersion: versions.rosterVersion,
        publicationVersion: versions.publicationVersion,
        evacuationVersion: versions.evacuationVersion,
        members: undefined,
      };
      followers.set(calls, follower);
      if (computeProofAge() <= maximumProofAge) sendState(follower);
      else holdBack();
      calls.notify(composeFreshness());
    },
    removeFollower: calls => {
      followers.delete(calls);
    },
    scheduleUpdate,
    appliedIndex: () => status().appliedIndex,
    followers: () => followers.size,
    stop: () => {
      heartbeat.cancel();
      pauses.cancel();
      pendingUpdate?.cancel();
    },
  };
}

function sendConfiguration(follower: Follower, state: ControlState): void {
  const { configuration } = state.configuration;
  if (configuration.version <= follower.configurationVersion) return;
  const changes = listChangesSince(
    state.configuration,
    follower.configurationVersion,
  );
  const isDelta =
    changes !== undefined && changes.length <= maximumDeltaChanges;
  const notice: ControlNotice = isDelta
    ? { kind: ControlNoticeKind.ConfigurationChanges, changes }
    : { kind: ControlNoticeKind.Configuration, configuration };
  follower.calls.notify(notice);
  follower.configurationVersion = configuration.version;
}

function sendRoster(
  follower: Follower,
  state: ControlState,
  readRoster: () => Roster,
): void {
  if (state.roster.version <= follower.rosterVersion) return;
  const changes = composeRosterChanges(state.roster, follower.rosterVersion);
  const notice: ControlNotice =
    changes === undefined
      ? { kind: ControlNoticeKind.Roster, roster: readRoster() }
      : { kind: ControlNoticeKind.RosterChanges, changes };
  follower.calls.notify(notice);
  follower.rosterVersion = state.roster.version;
}

function sendEvacuations(
  follower: Follower,
  { evacuations }: ControlState,
): void {
  const { state } = evacuations;
  if (follower.evacuationVersion === undefined) return;
  if (state.version <= follower.evacuationVersion) return;
  follower.calls.notify({ kind: ControlNoticeKind.Evacuations, state });
  follower.evacuationVersion = state.version;
}

function sendPublication(follower: Follower, state: ControlState): void {
  const { publication } = state;
  if (publication.version <= follower.publicationVersion) return;
  follower.calls.notify({ kind: ControlNoticeKind.Publication, publication });
  follower.publicationVersion = publication.version;
}

function sendMembers(follower: Follower, members: readonly Member[]): void {
  if (follower.members === members) return;
  follower.members = members;
  follower.calls.notify({
    kind: ControlNoticeKind.ControlHosts,
    addresses: listDurableHosts(members),
  });
}

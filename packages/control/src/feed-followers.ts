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
import type { LogIndex, Milliseconds, Roster } from '@cranberryturn/types';
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
}

interface Follower {
  readonly calls: RemoteCalls;
  configurationVersion: number;
  rosterVersion: number;
  publicationVersion: number;
  /** Member list that was last sent to the follower. */
  members: readonly Member[] | undefined;
}

/**
 * Creates the feed of a replica. Updates stop while the proof of leadership is older than
 * `maximumProofAge`.
 */
export function createFollowerFeed(options: {
  readonly timers: TimerService;
  readonly state: ControlState;
  readonly status: () => LogStatus;
}): FollowerFeed {
  const { timers, state, status } = options;
  const followers = new Map<RemoteCalls, Follower>();
  let pendingUpdate: TimerSubscription | undefined;
  let roster: Roster = composeRoster(state.roster);

  const pauses = watchPauses(timers, minimumPauseMilliseconds);

  /**
   * After a pause of this process, heartbeats that arrived meanwhile look recent; a proof from them is
   * too old once it could have been renewed.
   */
  const computeProofAge = (): Milliseconds => {
    if (pauses.hasPausedSince(timers.now() - maximumProofAge)) return Infinity;
    const provedAt = status().leadershipProvedAt;
    return provedAt === undefined ? Infinity : timers.now() - provedAt;
  };

  const readRoster = (): Roster => {
    if (roster.version !== state.roster.version) {
      roster = composeRoster(state.roster);
    }
    return roster;
  };

  const sendUpdates = (): void => {
    pendingUpdate = undefined;
    if (computeProofAge() > maximumProofAge) return;
    for (const follower of followers.values()) {
      sendConfiguration(follower, state);
      sendRoster(follower, state, readRoster);
      sendPublication(follower, state);
      sendMembers(follower, status().members);
    }
  };

  const scheduleUpdate = (): void => {
    if (followers.size === 0) return;
    pendingUpdate ??= timers.after(coalescingDelayMilliseconds, sendUpdates);
  };

  const composeFreshness = (): ControlNotice => ({
    kind: ControlNoticeKind.Freshness,
    proofAgeMilliseconds: Math.ceil(
      Math.min(computeProofAge(), Number.MAX_SAFE_INTEGER),
    ),
    configurationVersion: state.configuration.configuration.version,
    leader: status().leader,
  });

  const sendFreshness = (): void => {
    const notice = composeFreshness();
    for (const { calls } of followers.values()) calls.notify(notice);
    // A renewed proof releases the updates that were held back.
    scheduleUpdate();
  };

  const heartbeat = timers.every(freshnessIntervalMilliseconds, sendFreshness);

  return {
    addFollower: (calls, versions) => {
      const { configurationVersion, rosterVersion, publicationVersion } =
        versions;
      followers.set(calls, {
        calls,
        configurationVersion,
        rosterVersion,
        publicationVersion,
        members: undefined,
      });
      calls.notify(composeFreshness());
      scheduleUpdate();
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

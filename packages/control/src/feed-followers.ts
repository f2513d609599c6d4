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
  /** Adds a follower, or renews it, and sends a proof after what has changed. */
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
  /** Whether the follower calls again for each proof; otherwise it is sent proofs periodically. */
  readonly asksForProofs?: boolean | undefined;
  /** Whether the caller follows another replica, and wants only what has changed up to now. */
  readonly isOnce?: boolean | undefined;
}

interface Follower {
  readonly calls: RemoteCalls;
  readonly asksForProofs: boolean;
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
  readonly maximumProofAge: Milliseconds;
}): FollowerFeed {
  const { timers, state, status, maximumProofAge } = options;
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

  const sendChanges = (follower: Follower): void => {
    sendEvacuations(follower, state);
    sendConfiguration(follower, state);
    sendPublication(follower, state);
  };

  const sendState = (follower: Follower): void => {
    sendChanges(follower);
    sendRoster(follower, state, readRoster);
    sendMembers(follower, status().members);
  };

  const isProved = (): boolean => computeProofAge() <= maximumProofAge;

  const holdBack = (): void => {
    isHeldBack = true;
    if (computeAge(status().leadershipProvedAt) > maximumProofAge) return;
    pendingUpdate ??= timers.after(catchUpIntervalMilliseconds, updateAll);
  };

  const sendUpdates = (): void => {
    if (!isProved()) {
      holdBack();
      return;
    }
    for (const follower of followers.values()) sendState(follower);
    if (!isHeldBack) return;
    isHeldBack = false;
    sendFreshness(false);
  };

  const updateAll = (): void => {
    pendingUpdate = undefined;
    sendUpdates();
  };

  const scheduleUpdate = (): void => {
    if (followers.size === 0) return;
    pendingUpdate ??= timers.after(coalescingDelayMilliseconds, updateAll);
  };

  /** While changes are held back no proof covers what the followers have. */
  const composeFreshness = (): ControlNotice => ({
    kind: ControlNoticeKind.Freshness,
    // A leader that is the only voter states a proof slightly ahead of the clock of its followers.
    proofAgeMilliseconds: isProved()
      ? Math.ceil(Math.max(0, computeProofAge()))
      : Number.MAX_SAFE_INTEGER,
    configurationVersion: state.configuration.configuration.version,
    leader: status().leader,
  });

  const sendFreshness = (isPeriodic: boolean): void => {
    const notice = composeFreshness();
    for (const { calls, asksForProofs } of followers.values()) {
      if (!isPeriodic || !asksForProofs) calls.notify(notice);
    }
  };

  const heartbeat = timers.every(freshnessIntervalMilliseconds, () => {
    sendUpdates();
    sendFreshness(true);
  });

  return {
    addFollower: (calls, versions) => {
      const follower = createFollower(calls, versions, followers.get(calls));
      if (versions.isOnce === true) {
        if (isProved()) sendChanges(follower);
      } else {
        followers.set(calls, follower);
        if (isProved()) sendState(follower);
        else holdBack();
      }
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

/** What a renewal has not seen yet is on its way to the follower, unless the follower asks for everything. */
function createFollower(
  calls: RemoteCalls,
  versions: FollowerVersions,
  known: Follower | undefined,
): Follower {
  const chooseVersion = (stated: number, sent: number | undefined): number =>
    stated === -1 ? stated : Math.max(stated, sent ?? stated);
  return {
    calls,
    asksForProofs: versions.asksForProofs ?? false,
    configurationVersion: chooseVersion(
      versions.configurationVersion,
      known?.configurationVersion,
    ),
    rosterVersion: chooseVersion(versions.rosterVersion, known?.rosterVersion),
    publicationVersion: chooseVersion(
      versions.publicationVersion,
      known?.publicationVersion,
    ),
    evacuationVersion:
      versions.evacuationVersion === undefined
        ? undefined
        : chooseVersion(versions.evacuationVersion, known?.evacuationVersion),
    members: known?.members,
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

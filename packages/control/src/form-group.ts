/**
 * Lets the replicas form and repair their group without an operator: replicas ask to join, the
 * leader changes the members.
 */
import type { Logger } from '@cranberryturn/logger';
import {
  type Member,
  type ReplicatedLog,
  ReplicaRole,
} from '@cranberryturn/replicated-log';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  Milliseconds,
  NetworkAddress,
  ReplicaId,
} from '@cranberryturn/types';
import type { Network } from '@cranberryturn/wire';

import { announceLeader } from './announce-leader.js';
import type { EntryOutcome } from './control-state.js';
import { findToleratedLosses, type GroupOptions } from './group-options.js';
import { createVoterMonitor } from './monitor-voters.js';
import { parseAddress } from './parse-address.js';
import type { JoiningReplica, JoinReply } from './peer-protocol.js';
import { findGroupStep } from './plan-group.js';
import { MembershipStepKind } from './reconcile-members.js';
import { composeCandidate, requestMembership } from './request-membership.js';

const stepIntervalMilliseconds: Milliseconds = 100;
/** A replica that has not repeated its join request for this time is no longer added. */
const joinRequestLifetimeMilliseconds: Milliseconds = 2_000;

/** Dependencies of the group tasks. */
export interface FormGroupOptions {
  readonly group: GroupOptions;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly log: ReplicatedLog<EntryOutcome>;
  readonly network: Network;
  /** Time since a replica was last heard; undefined without a connection to it. */
  readonly findSilence: (replica: ReplicaId) => Milliseconds | undefined;
}

/** The running group tasks of a replica. */
export interface GroupFormation extends TimerSubscription {
  /** Records the join request of another replica and returns the address of the leader. */
  handleJoinRequest(candidate: JoiningReplica): JoinReply;
  /** Asks the announced leader for membership unless this replica is a member already. */
  handleAnnouncement(leader: NetworkAddress): void;
  /** Notes that another identity answers at the address of a member. */
  handleReplacedMember(replica: ReplicaId): void;
  /** Replaces the seed addresses after a change of the settings. */
  changeSeeds(seeds: readonly NetworkAddress[]): void;
}

/**
 * Starts the group tasks: the leader changes the members, and a replica outside the group asks to
 * join.
 */
export function formGroup(options: FormGroupOptions): GroupFormation {
  const { timers, log } = options;
  /** Newest request of each address: a host that lost its data returns under a new identity. */
  const candidates = new Map<
    string,
    JoiningReplica & { seenAt: Milliseconds }
  >();
  /** Members at whose address another identity answers. */
  const replaced = new Set<ReplicaId>();
  const silences = createSilenceTracker(options, replaced);
  const voterMonitor = createVoterMonitor(options);
  let { seeds } = options.group;
  const listSeeds = (): readonly NetworkAddress[] => seeds;
  let isChanging = false;

  const listJoiningReplicas = (): readonly JoiningReplica[] => {
    const oldest = timers.now() - joinRequestLifetimeMilliseconds;
    for (const [address, { seenAt }] of candidates) {
      if (seenAt < oldest) candidates.delete(address);
    }
    return [...candidates.values()];
  };

  const stepWhileLeading = async (): Promise<void> => {
    const { role, members, replicaId } = log.status();
    const replicaIds = members.map(member => member.replicaId);
    for (const replica of replaced) {
      if (!replicaIds.includes(replica)) replaced.delete(replica);
    }
    silences.measure(replicaIds);
    if (isChanging || role !== ReplicaRole.Leader) return;
    voterMonitor.check(members);
    isChanging = true;
    await applyGroupStep(options, {
      leader: replicaId,
      members,
      candidates: [...listJoiningReplicas(), composeCandidate(options)],
      measureSilence: silences.read,
      minimumVoters: options.group.minimumVoters,
      losses: findToleratedLosses(options.group),
    });
    isChanging = false;
  };

  const stepTimer = timers.every(
    stepIntervalMilliseconds,
    () => void stepWhileLeading(),
  );
  const requests = requestMembership({ ...options, listSeeds });
  const announcements = announceLeader({
    ...options,
    self: options.group.self,
    listSeeds,
    replaced,
  });
  return {
    handleJoinRequest: candidate => {
      candidates.set(candidate.address, {
        ...candidate,
        seenAt: timers.now(),
      });
      return { leader: findLeader(log) };
    },
    handleAnnouncement: requests.handleAnnouncement,
    handleReplacedMember: replica => {
      if (replaced.has(replica)) return;
      replaced.add(replica);
      announcements.announce();
    },
    changeSeeds: changed => {
      seeds = changed;
    },
    cancel: () => {
      stepTimer.cancel();
      requests.cancel();
      announcements.cancel();
    },
  };
}

function findLeader(
  log: ReplicatedLog<EntryOutcome>,
): NetworkAddress | undefined {
  const { leader, members, replicaId } = log.status();
  if (leader === replicaId) return undefined;
  const member = members.find(one => one.replicaId === leader);
  return member === undefined ? undefined : parseAddress(member.address);
}

async function applyGroupStep(
  { log, logger }: FormGroupOptions,
  view: Parameters<typeof findGroupStep>[0],
): Promise<void> {
  const step = findGroupStep(view);
  if (step?.kind !== MembershipStepKind.Change) return;
  const silences = view.members.map(({ replicaId }) => [
    replicaId,
    Math.round(view.measureSilence(replicaId)),
  ]);
  logger.info('control changes its members', {
    change: step.change,
    silences,
    members: listRoles(view.members),
  });
  const changed = await log.changeMembers(step.change);
  if (changed.isOk()) return;
  logger.info('membership change not done; retrying', {
    change: step.change,
    error: changed.error,
  });
}

/** Lists members for a log line, without their addresses. */
export function listRoles(
  members: readonly Member[],
): readonly Pick<Member, 'replicaId' | 'role'>[] {
  return members.map(({ replicaId, role }) => ({ replicaId, role }));
}

/**
 * Counts the silence of a member from the time at which this replica began to watch it: when this
 * replica became leader, or when the member was added.
 */
function createSilenceTracker(
  { timers, findSilence, log }: FormGroupOptions,
  replaced: ReadonlySet<ReplicaId>,
) {
  const heardAt = new Map<ReplicaId, Milliseconds>();
  return {
    measure: (members: readonly ReplicaId[]): void => {
      const now = timers.now();
      const isLeading = log.status().role === ReplicaRole.Leader;
      for (const replica of members) {
        const silence = replaced.has(replica)
          ? undefined
          : findSilence(replica);
        const heard = silence === undefined ? undefined : now - silence;
        const known = heardAt.get(replica) ?? now;
        heardAt.set(replica, isLeading ? Math.max(known, heard ?? known) : now);
      }
    },
    read: (replica: ReplicaId): Milliseconds =>
      timers.now() - (heardAt.get(replica) ?? timers.now()),
  };
}

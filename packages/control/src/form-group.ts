/**
 * Lets the replicas form and repair their group without an operator: replicas ask to join, the
 * leader changes the members.
 */
import type { Logger } from '@cranberryturn/logger';
import {
  type Member,
  MemberRole,
  type ReplicatedLog,
  ReplicaRole,
} from '@cranberryturn/replicated-log';
import {
  sleep,
  type TimerService,
  type TimerSubscription,
} from '@cranberryturn/timers';
import type {
  Milliseconds,
  NetworkAddress,
  ReplicaId,
} from '@cranberryturn/types';
import {
  dialWithin,
  formatAddress,
  type Network,
  serveRemoteCalls,
} from '@cranberryturn/wire';

import type { EntryOutcome } from './control-state.js';
import { parseAddress } from './parse-address.js';
import { findGroupStep, type JoiningReplica } from './plan-group.js';
import { MembershipStepKind } from './reconcile-members.js';
import { PeerEnvelopeKind } from './adapters/wire-peer-link.js';

const stepIntervalMilliseconds: Milliseconds = 100;
const joinRequestIntervalMilliseconds: Milliseconds = 400;
const joinRequestTimeoutMilliseconds: Milliseconds = 800;
/** A replica that has not repeated its join request for this time is no longer added. */
const joinRequestLifetimeMilliseconds: Milliseconds = 2_000;
/**
 * A member without a known leader for this long may have been removed, so it asks to join again.
 */
const leaderlessLimitMilliseconds: Milliseconds = 2_000;

/** Settings of a group that manages its own membership. */
export interface GroupOptions {
  /** Addresses at which join requests can find a member. */
  readonly seeds: readonly NetworkAddress[];
  /** Address at which other replicas reach this one. */
  readonly self: NetworkAddress;
  /** Voters that are needed so that the tolerated losses leave a majority. */
  readonly minimumVoters: number;
}

/** The reply to a join request. */
export interface JoinReply {
  /**
   * Address of the leader, to repeat the request there; undefined when no leader is known or the
   * asked replica leads.
   */
  readonly leader: NetworkAddress | undefined;
}

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
}

/**
 * Starts the group tasks: the leader changes the members, and a replica outside the group asks to
 * join.
 */
export function formGroup(options: FormGroupOptions): GroupFormation {
  const { timers, log } = options;
  const candidates = new Map<
    ReplicaId,
    JoiningReplica & { seenAt: Milliseconds }
  >();
  const silences = createSilenceTracker(options);
  const voterCount = createVoterCountMonitor(options);
  let isStopped = false;
  let isChanging = false;

  const listJoiningReplicas = (): readonly JoiningReplica[] => {
    const oldest = timers.now() - joinRequestLifetimeMilliseconds;
    for (const [replicaId, { seenAt }] of candidates) {
      if (seenAt < oldest) candidates.delete(replicaId);
    }
    return [...candidates.values()].map(({ replicaId, address }) => ({
      replicaId,
      address,
    }));
  };

  const stepWhileLeading = async (): Promise<void> => {
    const { role, members, replicaId } = log.status();
    silences.measure(members.map(member => member.replicaId));
    if (isChanging || role !== ReplicaRole.Leader) return;
    voterCount.check(members);
    isChanging = true;
    await applyGroupStep(options, {
      leader: replicaId,
      members,
      candidates: listJoiningReplicas(),
      measureSilence: silences.read,
      minimumVoters: options.group.minimumVoters,
    });
    isChanging = false;
  };

  const stepTimer = timers.every(
    stepIntervalMilliseconds,
    () => void stepWhileLeading(),
  );
  void requestMembershipRepeatedly(options, () => isStopped);
  return {
    handleJoinRequest: candidate => {
      candidates.set(candidate.replicaId, {
        ...candidate,
        seenAt: timers.now(),
      });
      return { leader: findLeader(log) };
    },
    cancel: () => {
      isStopped = true;
      stepTimer.cancel();
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

/** Logs when a leader finds that the voters became too few for the tolerated losses, or enough. */
function createVoterCountMonitor({ group, logger }: FormGroupOptions) {
  let loggedVoters: number | undefined;
  return {
    check: (members: readonly Member[]): void => {
      const voters = members.filter(
        ({ role }) => role === MemberRole.Voter,
      ).length;
      if (voters === loggedVoters) return;
      loggedVoters = voters;
      const fields = { voters, needed: group.minimumVoters };
      if (voters < group.minimumVoters) {
        logger.warn(
          'control has fewer voters than the tolerated losses need; run it on more hosts with a disk',
          fields,
        );
        return;
      }
      logger.info(
        'control has the voters that the tolerated losses need',
        fields,
      );
    },
  };
}

/**
 * Counts the silence of a member from the time at which this replica began to watch it: when this
 * replica became leader, or when the member was added.
 */
function createSilenceTracker({ timers, findSilence, log }: FormGroupOptions) {
  const heardAt = new Map<ReplicaId, Milliseconds>();
  return {
    measure: (members: readonly ReplicaId[]): void => {
      const now = timers.now();
      const isLeading = log.status().role === ReplicaRole.Leader;
      for (const replica of members) {
        const silence = findSilence(replica);
        const heard = silence === undefined ? undefined : now - silence;
        const known = heardAt.get(replica) ?? now;
        heardAt.set(replica, isLeading ? Math.max(known, heard ?? known) : now);
      }
    },
    read: (replica: ReplicaId): Milliseconds =>
      timers.now() - (heardAt.get(replica) ?? timers.now()),
  };
}

async function requestMembershipRepeatedly(
  options: FormGroupOptions,
  isStopped: () => boolean,
): Promise<void> {
  const { timers, log } = options;
  let leaderKnownAt = timers.now();
  let attempts = 0;
  while (!isStopped()) {
    await sleep(timers, joinRequestIntervalMilliseconds);
    const { members, replicaId, leader } = log.status();
    const now = timers.now();
    if (leader !== undefined) leaderKnownAt = now;
    const isMember = members.some(member => member.replicaId === replicaId);
    if (isMember && now - leaderKnownAt < leaderlessLimitMilliseconds) continue;
    const addresses = listContactAddresses(options);
    const address = addresses[attempts % Math.max(1, addresses.length)];
    attempts += 1;
    if (address === undefined) continue;
    const reply = await requestMembership(options, address);
    if (reply?.leader !== undefined)
      await requestMembership(options, reply.leader);
  }
}

function listContactAddresses({
  group,
  log,
}: FormGroupOptions): readonly NetworkAddress[] {
  const own = formatAddress(group.self);
  const members = log
    .status()
    .members.flatMap(member => parseAddress(member.address) ?? []);
  const addresses = new Map(
    [...group.seeds, ...members].map(address => [
      formatAddress(address),
      address,
    ]),
  );
  addresses.delete(own);
  return [...addresses.values()];
}

async function requestMembership(
  { network, timers, log, group, logger }: FormGroupOptions,
  address: NetworkAddress,
): Promise<JoinReply | undefined> {
  const dialled = await dialWithin(
    network,
    timers,
    address,
    joinRequestTimeoutMilliseconds,
  );
  if (dialled.isErr()) return undefined;
  const calls = serveRemoteCalls(dialled.value, timers, {
    handleCall: () => Promise.resolve(undefined),
  });
  const candidate: JoiningReplica = {
    replicaId: log.status().replicaId,
    address: formatAddress(group.self),
  };
  const reply = await calls.call<JoinReply>(
    { kind: PeerEnvelopeKind.JoinRequest, candidate },
    joinRequestTimeoutMilliseconds,
  );
  calls.connection.close();
  logger.info('join request sent to a control host', {
    at: formatAddress(address),
    answered: reply.isOk(),
  });
  return reply.unwrapOr(undefined);
}

/** Asks the group for membership while this replica is not a member, or may no longer be one. */
import type { Logger } from '@cranberryturn/logger';
import type { ReplicatedLog } from '@cranberryturn/replicated-log';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import {
  formatAddress,
  isNetworkAddress,
  isOptional,
  isRecord,
  type Network,
} from '@cranberryturn/wire';

import { callHost } from './call-host.js';
import type { EntryOutcome } from './control-state.js';
import type { GroupOptions } from './group-options.js';
import { parseAddress } from './parse-address.js';
import {
  type JoiningReplica,
  type JoinReply,
  PeerEnvelopeKind,
} from './peer-protocol.js';

const joinRequestIntervalMilliseconds: Milliseconds = 400;
const joinRequestTimeoutMilliseconds: Milliseconds = 800;
/**
 * A member that no leader has contacted for this long may have been removed, so it asks to join
 * again.
 */
const leaderSilenceLimitMilliseconds: Milliseconds = 2_000;
/** A leader of an earlier version never records the data centre. */
const statementInterval: Milliseconds = 2_000;

/** Dependencies of the requests. */
export interface RequestMembershipOptions {
  readonly group: GroupOptions;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly log: ReplicatedLog<EntryOutcome>;
  readonly network: Network;
  /** Seeds of the current settings. */
  readonly listSeeds: () => readonly NetworkAddress[];
}

/** The running requests. */
export interface MembershipRequests extends TimerSubscription {
  /** Sends a request to this leader at once unless this replica is a member in contact with one. */
  handleAnnouncement(leader: NetworkAddress): void;
}

/** Starts the requests, which continue until cancelled. */
export function requestMembership(
  options: RequestMembershipOptions,
): MembershipRequests {
  const { timers, log } = options;
  let leaderHeardAt = timers.now();
  let attempts = 0;
  let statedAt = Number.NEGATIVE_INFINITY;

  const isInContact = (): boolean => {
    const { members, replicaId, leadershipProvedAt } = log.status();
    // A removed member hears of no other leader, so the one that it knows is no sign of contact.
    leaderHeardAt = Math.max(leaderHeardAt, leadershipProvedAt ?? 0);
    const silence = timers.now() - leaderHeardAt;
    const isMember = members.some(member => member.replicaId === replicaId);
    return isMember && silence < leaderSilenceLimitMilliseconds;
  };

  /** Tells the leader the data centre of this member, which the record of a founding one lacks. */
  const stateDataCentre = async (): Promise<void> => {
    const address = findUninformedLeader(options);
    const now = timers.now();
    if (address === undefined || now - statedAt < statementInterval) return;
    statedAt = now;
    await requestAt(options, address);
  };

  const requestAtNextHost = async (): Promise<void> => {
    if (isInContact()) {
      await stateDataCentre();
      return;
    }
    const addresses = listContactAddresses(options);
    const address = addresses[attempts % Math.max(1, addresses.length)];
    attempts += 1;
    if (address === undefined) return;
    const reply = await requestAt(options, address);
    if (reply?.leader !== undefined) await requestAt(options, reply.leader);
  };

  const timer = timers.every(
    joinRequestIntervalMilliseconds,
    () => void requestAtNextHost(),
  );
  return {
    handleAnnouncement: leader => {
      if (!isInContact()) void requestAt(options, leader);
    },
    cancel: () => {
      timer.cancel();
    },
  };
}

/** Address of the leader if the record of this member lacks the data centre of its host. */
function findUninformedLeader({
  log,
  group,
}: RequestMembershipOptions): NetworkAddress | undefined {
  const { members, replicaId, leader } = log.status();
  const member = members.find(one => one.replicaId === replicaId);
  if (group.dataCentre === undefined || leader === replicaId) return undefined;
  if (member?.dataCentre === group.dataCentre) return undefined;
  const address = members.find(one => one.replicaId === leader)?.address;
  return address === undefined ? undefined : parseAddress(address);
}

function listContactAddresses({
  group,
  log,
  listSeeds,
}: RequestMembershipOptions): readonly NetworkAddress[] {
  const members = log
    .status()
    .members.flatMap(member => parseAddress(member.address) ?? []);
  const addresses = new Map(
    [...listSeeds(), ...members].map(address => [
      formatAddress(address),
      address,
    ]),
  );
  addresses.delete(formatAddress(group.self));
  return [...addresses.values()];
}

/** Describes this replica to the leader. */
export function composeCandidate({
  log,
  group,
}: Pick<RequestMembershipOptions, 'log' | 'group'>): JoiningReplica {
  return {
    replicaId: log.status().replicaId,
    address: formatAddress(group.self),
    isObserver: group.isObserver,
    ...(group.dataCentre === undefined ? {} : { dataCentre: group.dataCentre }),
  };
}

async function requestAt(
  options: RequestMembershipOptions,
  address: NetworkAddress,
): Promise<JoinReply | undefined> {
  const { network, timers, logger } = options;
  const candidate = composeCandidate(options);
  const reply = await callHost<JoinReply>(
    { network, timers, timeout: joinRequestTimeoutMilliseconds },
    address,
    { kind: PeerEnvelopeKind.JoinRequest, candidate },
    isRecord({ leader: isOptional(isNetworkAddress) }),
  );
  logger.info('join request sent to a control host', {
    address: formatAddress(address),
    answered: reply.isOk(),
  });
  return reply.unwrapOr(undefined);
}

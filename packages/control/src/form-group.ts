/** Lets the replicas of a log form and mend their group without a person. */
import type { Logger } from '@cranberryturn/logger';
import { type ReplicatedLog, ReplicaRole } from '@cranberryturn/replicated-log';
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
import { findGroupStep, type GroupCandidate } from './plan-group.js';
import { MemberStepKind } from './reconcile-members.js';
import { PeerEnvelopeKind } from './adapters/wire-peer-link.js';

const stepInterval: Milliseconds = 100;
const enlistInterval: Milliseconds = 400;
const enlistTimeout: Milliseconds = 800;
/** A candidate that has not asked for this time is gone. */
const candidateLifetime: Milliseconds = 2_000;
/** A member that hears no leader for this long may have been removed. */
const leaderlessPatience: Milliseconds = 2_000;

/** How a group forms by itself. */
export interface GroupOptions {
  /** Addresses at which the first members are found. */
  readonly seeds: readonly NetworkAddress[];
  /** Address at which this replica is reached. */
  readonly self: NetworkAddress;
  readonly minimumVoters: number;
}

/** The answer to a replica that asks to be a member. */
export interface EnlistReply {
  /** Address of the leader, to ask there; undefined when none is known or it was asked. */
  readonly leader: NetworkAddress | undefined;
}

/** What the tasks need. */
export interface FormGroupOptions {
  readonly group: GroupOptions;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly log: ReplicatedLog<EntryOutcome>;
  readonly network: Network;
  /** Time since a replica was heard; undefined without a connection to it. */
  readonly silenceOf: (replica: ReplicaId) => Milliseconds | undefined;
}

/** The tasks of one replica. */
export interface GroupFormation extends TimerSubscription {
  /** Answers a replica that asks to be a member. */
  enlist(candidate: GroupCandidate): EnlistReply;
}

/** Starts the tasks: the leader changes members, and a replica that is none asks to be one. */
export function formGroup(options: FormGroupOptions): GroupFormation {
  const { timers, log } = options;
  const candidates = new Map<
    ReplicaId,
    GroupCandidate & { seenAt: Milliseconds }
  >();
  const silences = createSilenceMeter(options);
  let stopped = false;
  let busy = false;

  const listCandidates = (): readonly GroupCandidate[] => {
    const oldest = timers.now() - candidateLifetime;
    for (const [replicaId, { seenAt }] of candidates) {
      if (seenAt < oldest) candidates.delete(replicaId);
    }
    return [...candidates.values()].map(({ replicaId, address }) => ({
      replicaId,
      address,
    }));
  };

  const act = async (): Promise<void> => {
    const { role, members, replicaId } = log.status();
    silences.measure(members.map(member => member.replicaId));
    if (busy || role !== ReplicaRole.Leader) return;
    busy = true;
    await takeStep(options, {
      leader: replicaId,
      members,
      candidates: listCandidates(),
      silenceOf: silences.read,
      minimumVoters: options.group.minimumVoters,
    });
    busy = false;
  };

  const stepping = timers.every(stepInterval, () => void act());
  void keepEnlisting(options, () => stopped);
  return {
    enlist: candidate => {
      candidates.set(candidate.replicaId, {
        ...candidate,
        seenAt: timers.now(),
      });
      return { leader: findLeader(log) };
    },
    cancel: () => {
      stopped = true;
      stepping.cancel();
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

async function takeStep(
  { log, logger }: FormGroupOptions,
  question: Parameters<typeof findGroupStep>[0],
): Promise<void> {
  const step = findGroupStep(question);
  if (step?.kind !== MemberStepKind.Change) return;
  const silences = question.members.map(({ replicaId }) => [
    replicaId,
    Math.round(question.silenceOf(replicaId)),
  ]);
  logger.info('control changes its members', { change: step.change, silences });
  const taken = await log.changeMembers(step.change);
  if (taken.isOk()) return;
  logger.info('the change of members waits', {
    change: step.change,
    error: taken.error,
  });
}

/** Silence counts from the moment at which this replica began to look. */
function createSilenceMeter({ timers, silenceOf, log }: FormGroupOptions) {
  const heardAt = new Map<ReplicaId, Milliseconds>();
  return {
    measure: (members: readonly ReplicaId[]): void => {
      const now = timers.now();
      const isLeading = log.status().role === ReplicaRole.Leader;
      for (const replica of members) {
        const silence = silenceOf(replica);
        const heard = silence === undefined ? undefined : now - silence;
        const known = heardAt.get(replica) ?? now;
        heardAt.set(replica, isLeading ? Math.max(known, heard ?? known) : now);
      }
    },
    read: (replica: ReplicaId): Milliseconds =>
      timers.now() - (heardAt.get(replica) ?? timers.now()),
  };
}

async function keepEnlisting(
  options: FormGroupOptions,
  isStopped: () => boolean,
): Promise<void> {
  const { timers, log } = options;
  let leaderSeenAt = timers.now();
  let turn = 0;
  while (!isStopped()) {
    await sleep(timers, enlistInterval);
    const { members, replicaId, leader } = log.status();
    const now = timers.now();
    if (leader !== undefined) leaderSeenAt = now;
    const isMember = members.some(member => member.replicaId === replicaId);
    if (isMember && now - leaderSeenAt < leaderlessPatience) continue;
    const places = listPlaces(options);
    const place = places[turn % Math.max(1, places.length)];
    turn += 1;
    if (place === undefined) continue;
    const reply = await askToEnlist(options, place);
    if (reply?.leader !== undefined) await askToEnlist(options, reply.leader);
  }
}

function listPlaces({
  group,
  log,
}: FormGroupOptions): readonly NetworkAddress[] {
  const own = formatAddress(group.self);
  const members = log
    .status()
    .members.flatMap(member => parseAddress(member.address) ?? []);
  const places = new Map(
    [...group.seeds, ...members].map(address => [
      formatAddress(address),
      address,
    ]),
  );
  places.delete(own);
  return [...places.values()];
}

async function askToEnlist(
  { network, timers, log, group, logger }: FormGroupOptions,
  address: NetworkAddress,
): Promise<EnlistReply | undefined> {
  const dialled = await dialWithin(network, timers, address, enlistTimeout);
  if (dialled.isErr()) return undefined;
  const calls = serveRemoteCalls(dialled.value, timers, {
    handleCall: () => Promise.resolve(undefined),
  });
  const candidate: GroupCandidate = {
    replicaId: log.status().replicaId,
    address: formatAddress(group.self),
  };
  const reply = await calls.call<EnlistReply>(
    { kind: PeerEnvelopeKind.Enlist, candidate },
    enlistTimeout,
  );
  calls.connection.close();
  logger.info('asked to be a member of control', {
    at: formatAddress(address),
    answered: reply.isOk(),
  });
  return reply.unwrapOr(undefined);
}

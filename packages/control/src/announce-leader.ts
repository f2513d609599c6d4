/**
 * The leader announces itself to hosts that may not know the group. Seeds without a disk forget it
 * when they restart together, and hosts that know only these seeds would not find it either.
 */
import type { CranberryError } from '@cranberryturn/errors';
import type { Logger } from '@cranberryturn/logger';
import { type ReplicatedLog, ReplicaRole } from '@cranberryturn/replicated-log';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  Milliseconds,
  NetworkAddress,
  ReplicaId,
} from '@cranberryturn/types';
import { formatAddress, type Network } from '@cranberryturn/wire';

import { callHost } from './call-host.js';
import type { EntryOutcome } from './control-state.js';
import { parseAddress } from './parse-address.js';
import { PeerEnvelopeKind } from './peer-protocol.js';

const announcementIntervalMilliseconds: Milliseconds = 200;
const announcementTimeoutMilliseconds: Milliseconds = 1_000;
/** Time in which a host that was told can ask to join. */
const repeatIntervalMilliseconds: Milliseconds = 1_000;

/** Dependencies of the announcements. */
export interface AnnounceLeaderOptions {
  readonly self: NetworkAddress;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly log: ReplicatedLog<EntryOutcome>;
  readonly network: Network;
  /** Seeds of the current settings. */
  readonly listSeeds: () => readonly NetworkAddress[];
  /** Members whose host runs under a new identity. */
  readonly replaced: ReadonlySet<ReplicaId>;
}

/** The running announcements. */
export interface LeaderAnnouncements extends TimerSubscription {
  /** Sends the announcements that are due now, instead of at the next interval. */
  announce(): void;
}

/** Starts the announcements, which are sent only while this replica leads. */
export function announceLeader(
  options: AnnounceLeaderOptions,
): LeaderAnnouncements {
  const { timers, log, logger } = options;
  /** Addresses to which an announcement is on its way. */
  const pending = new Set<string>();
  /** When each address that answered was last told. */
  const toldAt = new Map<string, Milliseconds>();

  /** Addresses whose failure was logged, until they answer. */
  const unreachable = new Set<string>();

  const logFirstFailure = (target: string, error: CranberryError): void => {
    if (unreachable.has(target)) return;
    unreachable.add(target);
    logger.info('leader not announced to a control host; repeating', {
      address: target,
      error,
    });
  };

  const announceTo = async (target: string): Promise<void> => {
    const address = parseAddress(target);
    const told = toldAt.get(target) ?? Number.NEGATIVE_INFINITY;
    if (address === undefined || pending.has(target)) return;
    if (timers.now() - told < repeatIntervalMilliseconds) return;
    pending.add(target);
    const announced = await callHost(
      { ...options, timeout: announcementTimeoutMilliseconds },
      address,
      { kind: PeerEnvelopeKind.LeaderAnnouncement, leader: options.self },
    );
    pending.delete(target);
    if (announced.isErr()) {
      logFirstFailure(target, announced.error);
      return;
    }
    unreachable.delete(target);
    toldAt.set(target, timers.now());
    logger.info('leader announced to a control host', { address: target });
  };

  const announce = (): void => {
    if (log.status().role !== ReplicaRole.Leader) return;
    for (const target of listTargets(options)) void announceTo(target);
  };

  const timer = timers.every(announcementIntervalMilliseconds, announce);
  return {
    announce,
    cancel: () => {
      timer.cancel();
    },
  };
}

/** Lists members whose host runs under a new identity, and seeds that are no members. */
function listTargets({
  self,
  log,
  listSeeds,
  replaced,
}: AnnounceLeaderOptions): readonly string[] {
  const { members } = log.status();
  const known = new Set(members.map(({ address }) => address));
  known.add(formatAddress(self));
  return [
    ...members
      .filter(({ replicaId }) => replaced.has(replicaId))
      .map(({ address }) => address),
    ...listSeeds()
      .map(formatAddress)
      .filter(address => !known.has(address)),
  ];
}

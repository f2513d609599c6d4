/** Composes what the replicas of a cluster start with. */
import {
  type BootstrapStart,
  MemberRole,
  type SeededStart,
  StartKind,
} from '@cranberryturn/replicated-log';
import type {
  ClusterConfiguration,
  NetworkAddress,
  ReplicaId,
} from '@cranberryturn/types';
import { formatAddress } from '@cranberryturn/wire';

interface Peer {
  readonly replicaId: ReplicaId;
  readonly address: NetworkAddress;
}

/** A founding member that is named, with the others. */
export function composeBootstrapStart(
  replicaId: ReplicaId,
  peers: readonly Peer[],
): BootstrapStart {
  return {
    kind: StartKind.Bootstrap,
    replicaId,
    members: peers.map(peer => ({
      replicaId: peer.replicaId,
      role: MemberRole.Voter,
      address: formatAddress(peer.address),
    })),
  };
}

/** A host of a system that starts for the first time, where the seeds decide who founds the log. */
export function composeFirstStart({
  host,
  address,
  dataCentre,
  seeds,
  hasDisk,
}: {
  readonly host: string;
  readonly address: NetworkAddress;
  readonly dataCentre: string | undefined;
  readonly seeds: readonly NetworkAddress[];
  readonly hasDisk: boolean;
}): SeededStart {
  return {
    kind: StartKind.Seeded,
    host,
    address: formatAddress(address),
    dataCentre,
    seeds: seeds.map(formatAddress),
    hasDisk,
    isFirstStart: true,
  };
}

/** A configuration with control hosts only. */
export function composeInitialConfiguration(
  peers: readonly Peer[],
): Omit<ClusterConfiguration, 'version'> {
  return {
    services: [],
    teams: [],
    workers: [],
    drainedRacks: [],
    drainedDataCentres: [],
    controlHosts: peers.map(peer => ({ ...peer, host: peer.replicaId })),
  };
}

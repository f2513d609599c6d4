/** Names, identities and announcements of the processes in a measurement. */
import type { TargetAnnouncement } from '@cranberryturn/types';
import { type PeerIdentity, ProcessRole } from '@cranberryturn/wire';

/** Service of every target. */
export const measuredService = 'measured-svc';

const workersPerRack = 3;
const dataCentres = 7;

/** Creates the identity of the dispatcher with this number. */
export function createDispatcherIdentity(number: number): PeerIdentity {
  return {
    role: ProcessRole.Dispatcher,
    name: `dispatcher-${String(number)}`,
    incarnation: `run-${String(number)}`,
  };
}

/** Creates the identity of the sidecar with this number. */
export function createSidecarIdentity(number: number): PeerIdentity {
  return {
    role: ProcessRole.Sidecar,
    name: `worker-${String(number)}`,
    incarnation: `run-${String(number)}`,
  };
}

/** Name of the replica at a position, counted from 0. */
export function formatReplicaName(position: number): string {
  return `control-${String(position + 1)}`;
}

/** Composes the announcement of the target with this number: three workers share a rack, racks alternate between seven data centres. */
export function composeAnnouncement(number: number): TargetAnnouncement {
  const rack = Math.floor(number / workersPerRack);
  return {
    targetId: `worker-${String(number)}`,
    incarnation: `run-${String(number)}`,
    service: measuredService,
    host: `host-${String(number)}`,
    rack: `rack-${String(rack)}`,
    dataCentre: `data-centre-${String(rack % dataCentres)}`,
    resources: { processors: 64, memoryMebibytes: 131_072, accelerators: 0 },
    slots: 8,
    connections: 64,
  };
}

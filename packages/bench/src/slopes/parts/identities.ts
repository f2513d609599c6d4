/** Names and announcements of the stand-ins that load a process under measure. */
import type { TargetAnnouncement } from '@cranberryturn/types';
import { type PeerIdentity, ProcessRole } from '@cranberryturn/wire';

/** Service of every stand-in target. */
export const measuredService = 'measured-svc';

const workersPerRack = 3;
const dataCentres = 7;

/** Identity of the stand-in dispatcher with this number. */
export function createDispatcherIdentity(number: number): PeerIdentity {
  return {
    role: ProcessRole.Dispatcher,
    name: `dispatcher-${String(number)}`,
    incarnation: `run-${String(number)}`,
  };
}

/** Identity of the stand-in sidecar with this number. */
export function createSidecarIdentity(number: number): PeerIdentity {
  return {
    role: ProcessRole.Sidecar,
    name: `worker-${String(number)}`,
    incarnation: `run-${String(number)}`,
  };
}

/** Name of the replica at a position. */
export function formatReplicaName(position: number): string {
  return `control-${String(position + 1)}`;
}

/** What the stand-in target with this number announces. */
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

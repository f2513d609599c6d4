/** Settings of a group of control replicas that manages its own membership. */
import type { NetworkAddress } from '@cranberryturn/types';

import type { ToleratedLosses } from './tolerated-losses.js';

/** Settings of a group that manages its own membership. */
export interface GroupOptions {
  /** Addresses at which join requests can find a member, until `changeSeeds`. */
  readonly seeds: readonly NetworkAddress[];
  /** Address at which other replicas reach this one. */
  readonly self: NetworkAddress;
  /** Voters that are needed so that the tolerated losses leave a majority. */
  readonly minimumVoters: number;
  /** Whether this replica only observes, because its host has no disk. */
  readonly isObserver: boolean;
  /** Data centre of this host, which members carry. */
  readonly dataCentre?: string | undefined;
  /** Whole data centres whose loss at the same time leaves a majority. */
  readonly toleratedDataCentres: number;
}

/** The losses that the voters have to outlast; the number of hosts follows from the minimum. */
export function findToleratedLosses({
  minimumVoters,
  toleratedDataCentres,
}: Pick<
  GroupOptions,
  'minimumVoters' | 'toleratedDataCentres'
>): ToleratedLosses {
  return {
    hosts: Math.floor((minimumVoters - 1) / 2),
    dataCentres: toleratedDataCentres,
  };
}

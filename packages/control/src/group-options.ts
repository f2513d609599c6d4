/** Settings of a group of control replicas that manages its own membership. */
import type { NetworkAddress } from '@cranberryturn/types';

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
}

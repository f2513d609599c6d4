/** Finds where a replica listens. */
import type { LogStatus } from '@cranberryturn/replicated-log';
import type { NetworkAddress, ReplicaId } from '@cranberryturn/types';

import type { ControlOptions } from './control-node.js';
import { parseAddress } from './parse-address.js';

/** Returns the address in the list of members, or else the one in the settings. A seed is named by its address. */
export function findReplicaAddress(
  { peers }: Pick<ControlOptions, 'peers'>,
  status: LogStatus | undefined,
  replica: ReplicaId,
): NetworkAddress | undefined {
  const member = status?.members.find(entry => entry.replicaId === replica);
  const memberAddress =
    member === undefined ? undefined : parseAddress(member.address);
  const configured = peers.find(peer => peer.replicaId === replica)?.address;
  return memberAddress ?? configured ?? parseAddress(replica);
}

/** Lists the control hosts that a dispatcher should dial. */
import { type Member, MemberRole } from '@cranberryturn/replicated-log';
import type { NetworkAddress } from '@cranberryturn/types';

import { parseAddress } from './parse-address.js';

/** Addresses of members with a disk; every dispatcher dials all of them, and observers add nothing. */
export function listDurableHosts(
  members: readonly Member[],
): readonly NetworkAddress[] {
  return members
    .filter(({ role }) => role !== MemberRole.Observer)
    .flatMap(({ address }) => parseAddress(address) ?? []);
}

/** Text form of a network address. */
import { isIPv6 } from 'node:net';

import type { NetworkAddress } from '@cranberryturn/types';

/** Writes `address:port`, with an IPv6 address in brackets, as URLs have it. */
export function formatAddress({ address, port }: NetworkAddress): string {
  const host = isIPv6(address) ? `[${address}]` : address;
  return `${host}:${String(port)}`;
}

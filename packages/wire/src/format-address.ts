/** Formats network addresses. */
import { isIPv6 } from 'node:net';

import type { NetworkAddress } from '@cranberryturn/types';

/** Returns `address:port`, with an IPv6 address in brackets as in URLs. */
export function formatAddress({ address, port }: NetworkAddress): string {
  const host = isIPv6(address) ? `[${address}]` : address;
  return `${host}:${String(port)}`;
}

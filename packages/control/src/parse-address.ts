/** Text form of an address, as the members of the log keep it. */
import type { NetworkAddress } from '@cranberryturn/types';

const addressPattern = /^(.+):(\d{1,5})$/;

/** Writes `address:port`. */
export function formatAddress({ address, port }: NetworkAddress): string {
  return `${address}:${String(port)}`;
}

/** Reads `address:port`; undefined when the text is something else. */
export function parseAddress(text: string): NetworkAddress | undefined {
  const [, address, port] = addressPattern.exec(text) ?? [];
  if (address === undefined || port === undefined) return undefined;
  return { address, port: Number(port) };
}

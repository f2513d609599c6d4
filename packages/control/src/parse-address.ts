/** Parses the text form of addresses in the member list of the log. */
import type { NetworkAddress } from '@cranberryturn/types';

const maximumPort = 65_535;
const addressPattern = /^(?:\[(.+)\]|(.+)):(\d{1,5})$/;

/**
 * Parses `address:port`, with or without brackets around the address. Returns undefined for any
 * other text, and for a port out of range.
 */
export function parseAddress(text: string): NetworkAddress | undefined {
  const [, bracketed, bare, port] = addressPattern.exec(text) ?? [];
  const address = bracketed ?? bare;
  if (address === undefined || port === undefined) return undefined;
  if (Number(port) < 1 || Number(port) > maximumPort) return undefined;
  return { address, port: Number(port) };
}

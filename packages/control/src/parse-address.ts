/** Parses the text form of addresses in the member list of the log. */
import type { NetworkAddress } from '@cranberryturn/types';

const addressPattern = /^(?:\[(.+)\]|(.+)):(\d{1,5})$/;

/**
 * Parses `address:port`, with or without brackets around the address. Returns undefined for any
 * other text.
 */
export function parseAddress(text: string): NetworkAddress | undefined {
  const [, bracketed, bare, port] = addressPattern.exec(text) ?? [];
  const address = bracketed ?? bare;
  if (address === undefined || port === undefined) return undefined;
  return { address, port: Number(port) };
}

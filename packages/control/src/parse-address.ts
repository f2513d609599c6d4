/** Reads the text form of an address, as the members of the log keep it. */
import type { NetworkAddress } from '@cranberryturn/types';

const addressPattern = /^(?:\[(.+)\]|(.+)):(\d{1,5})$/;

/** Reads `address:port`, with or without brackets; undefined when the text is something else. */
export function parseAddress(text: string): NetworkAddress | undefined {
  const [, bracketed, bare, port] = addressPattern.exec(text) ?? [];
  const address = bracketed ?? bare;
  if (address === undefined || port === undefined) return undefined;
  return { address, port: Number(port) };
}

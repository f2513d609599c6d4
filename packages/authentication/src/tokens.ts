/** Bearer tokens of callers and operators. Only digests of tokens are stored. */
import { hash, randomBytes, timingSafeEqual } from 'node:crypto';

const tokenPrefix = 'cbt_';
const tokenBytes = 32;
const digestPrefix = 'sha256:';
const bearerPattern = /^Bearer +([^\s]+)$/i;

/** Someone who holds bearer tokens: a team of callers or an operator. */
export interface TokenHolder {
  /** Digests of the accepted tokens, each as `sha256:` and 64 hexadecimal digits. */
  readonly tokenDigests: readonly string[];
}

/** Finds the holder of a token; undefined when nobody holds it. */
export type TokenFinder<Holder> = (
  token: string | undefined,
) => Holder | undefined;

/** Creates a random bearer token. */
export function createToken(): string {
  return `${tokenPrefix}${randomBytes(tokenBytes).toString('base64url')}`;
}

/** Computes the digest of a token, as stored in settings. */
export function digestToken(token: string): string {
  return `${digestPrefix}${computeDigest(token).toString('hex')}`;
}

/** Reads the token out of an `Authorization` header; undefined when there is none. */
export function readBearerToken(
  header: string | null | undefined,
): string | undefined {
  return bearerPattern.exec(header ?? '')?.[1];
}

/** Finds the holder of a token among `holders`. For repeated use, see `createTokenFinder`. */
export function findTokenHolder<Holder extends TokenHolder>(
  token: string | undefined,
  holders: readonly Holder[],
): Holder | undefined {
  return createTokenFinder(holders)(token);
}

/** Prepares the digests of `holders` once. The time of a search does not depend on which digest matches. */
export function createTokenFinder<Holder extends TokenHolder>(
  holders: readonly Holder[],
): TokenFinder<Holder> {
  const entries = holders.flatMap(holder =>
    holder.tokenDigests.map(digest => ({
      holder,
      digest: parseDigest(digest),
    })),
  );
  return token => {
    if (token === undefined) return undefined;
    const digest = computeDigest(token);
    let found: Holder | undefined;
    for (const entry of entries) {
      if (timingSafeEqual(entry.digest, digest)) found = entry.holder;
    }
    return found;
  };
}

function computeDigest(text: string): Buffer {
  return hash('sha256', text, 'buffer');
}

function parseDigest(digest: string): Buffer {
  const bytes = Buffer.from(digest.slice(digestPrefix.length), 'hex');
  // A digest of another length can match no token; the settings check reports it.
  return bytes.length === tokenBytes ? bytes : Buffer.alloc(tokenBytes);
}

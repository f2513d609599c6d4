/** Bearer tokens of teams and operators. Only digests of tokens are stored. */
import { hash, randomBytes, timingSafeEqual } from 'node:crypto';

const tokenPrefix = 'cbt_';
const tokenBytes = 32;
const digestPrefix = 'sha256:';
const bearerPattern = /^Bearer +([^\s]+)$/i;

/** Team or operator with bearer tokens. */
export interface TokenHolder {
  /** Digests of the accepted tokens, each as `sha256:` and 64 hexadecimal digits. */
  readonly tokenDigests: readonly string[];
}

/** Finds the holder of a token; undefined for an unknown or missing token. */
export type TokenFinder<Holder> = (
  token: string | undefined,
) => Holder | undefined;

/** Creates a random bearer token. */
export function createToken(): string {
  return `${tokenPrefix}${randomBytes(tokenBytes).toString('base64url')}`;
}

/** Computes the digest of a token in the form that settings store. */
export function digestToken(token: string): string {
  return `${digestPrefix}${computeDigest(token).toString('hex')}`;
}

/** Extracts the token from an `Authorization` header; undefined when it has no bearer token. */
export function readBearerToken(
  header: string | null | undefined,
): string | undefined {
  return bearerPattern.exec(header ?? '')?.[1];
}

/** Finds the holder of a token among `holders`. For repeated lookups, use `createTokenFinder`. */
export function findTokenHolder<Holder extends TokenHolder>(
  token: string | undefined,
  holders: readonly Holder[],
): Holder | undefined {
  return createTokenFinder(holders)(token);
}

/** Creates a finder with decoded digests. The time of a lookup does not depend on which digest matches. */
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
  // A digest of another length becomes one that no token matches; settings validation reports it.
  return bytes.length === tokenBytes ? bytes : Buffer.alloc(tokenBytes);
}

/** Shared keys of the processes of a deployment, and their text form. */
import { randomBytes } from 'node:crypto';

import { InvalidInputError } from '@cranberryturn/errors';
import { err, ok, type Result } from 'neverthrow';

const keyPrefix = 'cbk_';
const keyBytes = 32;
const maximumKeys = 2;
const keyPattern = /^cbk_[A-Za-z0-9_-]{43}$/;

/** Keys of a process. Proofs are made with `current`; during a rotation, `previous` is accepted too. */
export interface SharedKeys {
  readonly current: Buffer;
  readonly previous?: Buffer | undefined;
}

/** Creates a random shared key in its text form. */
export function createSharedKey(): string {
  return `${keyPrefix}${randomBytes(keyBytes).toString('base64url')}`;
}

/**
 * Creates the fixed key that is used when the settings name no shared key file. It authenticates
 * nobody: every process that reaches the ports is trusted.
 */
export function createTrustedNetworkKeys(): SharedKeys {
  return { current: Buffer.alloc(keyBytes) };
}

/** Parses one or two keys, one per line. Empty lines and lines that start with `#` are skipped. */
export function parseSharedKeys(
  text: string,
  fileName: string,
): Result<SharedKeys, InvalidInputError> {
  const lines = text
    .split(/\r?\n/)
    .map((line, index) => ({ line: line.trim(), number: index + 1 }))
    .filter(({ line }) => line !== '' && !line.startsWith('#'));
  const invalidLine = lines.find(({ line }) => !keyPattern.test(line));
  if (invalidLine !== undefined) {
    return failInvalidKeys(
      `${fileName}:${String(invalidLine.number)}: this line is not a shared key. Allowed: ${keyPrefix} and 43 letters, digits, "-" or "_". Create one with \`cranberryctl key create\`.`,
    );
  }
  const [current, previous] = lines.map(({ line }) => decodeKey(line));
  if (current === undefined) {
    return failInvalidKeys(
      `${fileName}: holds no shared key. Create one with \`cranberryctl key create\` and copy the same file to every host.`,
    );
  }
  if (lines.length > maximumKeys) {
    return failInvalidKeys(
      `${fileName}: holds ${String(lines.length)} keys. Allowed: one, or two during a rotation (the first is used, both are accepted).`,
    );
  }
  return ok({ current, previous });
}

function decodeKey(line: string): Buffer {
  return Buffer.from(line.slice(keyPrefix.length), 'base64url');
}

function failInvalidKeys(message: string): Result<never, InvalidInputError> {
  return err(new InvalidInputError(message, { step: 'read shared key' }));
}

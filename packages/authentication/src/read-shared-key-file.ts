/** Reads the shared key file and checks who else may read it. */
import { readFileSync, statSync } from 'node:fs';

import { InvalidInputError } from '@cranberryturn/errors';
import { err, Result } from 'neverthrow';

import { parseSharedKeys, type SharedKeys } from './shared-keys.js';

const accessByOthers = 0o077;
const modeBits = 0o777;

/** Reads the keys in `path`. Fails when the file is missing, is open to others, or holds no valid key. */
export function readSharedKeyFile(
  path: string,
): Result<SharedKeys, InvalidInputError> {
  const readFile = Result.fromThrowable(
    () => ({
      mode: statSync(path).mode & modeBits,
      text: readFileSync(path, 'utf8'),
    }),
    cause => unreadable(path, cause),
  );
  return readFile().andThen(({ mode, text }) => {
    if ((mode & accessByOthers) !== 0) return err(tooOpen(path, mode));
    return parseSharedKeys(text, path);
  });
}

function unreadable(path: string, cause: unknown): InvalidInputError {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new InvalidInputError(
    `The shared key file ${path} cannot be read (${reason}). Create it with \`cranberryctl key create ${path}\`, or correct "sharedKeyFile" in the settings.`,
    { step: 'read shared key' },
    cause,
  );
}

function tooOpen(path: string, mode: number): InvalidInputError {
  return new InvalidInputError(
    `The shared key file ${path} is open to other users (mode ${mode.toString(8).padStart(4, '0')}). Run \`chmod 600 ${path}\`.`,
    { step: 'read shared key' },
  );
}

/** Reads the shared key file and checks its permissions. */
import { readFileSync, statSync } from 'node:fs';

import { InvalidInputError } from '@cranberryturn/errors';
import { err, Result } from 'neverthrow';

import { parseSharedKeys, type SharedKeys } from './shared-keys.js';

const groupAndOthersPermissions = 0o077;
const permissionBits = 0o777;

/** Reads the keys in `path`. Fails when the file is missing, accessible to other users, or without valid keys. */
export function readSharedKeyFile(
  path: string,
): Result<SharedKeys, InvalidInputError> {
  const readFile = Result.fromThrowable(
    () => ({
      mode: statSync(path).mode & permissionBits,
      text: readFileSync(path, 'utf8'),
    }),
    cause => createUnreadableFileError(path, cause),
  );
  return readFile().andThen(({ mode, text }) => {
    if ((mode & groupAndOthersPermissions) !== 0)
      return err(createPermissionsError(path, mode));
    return parseSharedKeys(text, path);
  });
}

function createUnreadableFileError(
  path: string,
  cause: unknown,
): InvalidInputError {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new InvalidInputError(
    `The shared key file ${path} cannot be read (${reason}). Create it with \`cranberryctl key create ${path}\`, or correct "sharedKeyFile" in the settings.`,
    { step: 'read shared key' },
    cause,
  );
}

function createPermissionsError(path: string, mode: number): InvalidInputError {
  return new InvalidInputError(
    `The shared key file ${path} is open to other users (mode ${mode.toString(8).padStart(4, '0')}). Run \`chmod 600 ${path}\`.`,
    { step: 'read shared key' },
  );
}

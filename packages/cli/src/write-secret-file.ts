/** Writes secrets to files that only their owner can access. */
import { writeFileSync } from 'node:fs';

import { InvalidInputError } from '@cranberryturn/errors';
import { Result } from 'neverthrow';

const ownerOnlyMode = 0o600;

/** Writes `text` to a new file. Fails when the file exists, so that a secret is never overwritten. */
export function writeSecretFile(
  path: string,
  text: string,
): Result<void, InvalidInputError> {
  const write = Result.fromThrowable(
    () => {
      writeFileSync(path, text, { flag: 'wx', mode: ownerOnlyMode });
    },
    cause => createWriteError(path, cause),
  );
  return write();
}

function createWriteError(path: string, cause: unknown): InvalidInputError {
  const { code, message } = cause as NodeJS.ErrnoException;
  const text =
    code === 'EEXIST'
      ? `${path} exists already and is left as it is. Choose another name, or move the file away first.`
      : `${path} cannot be written (${message}). Choose a folder that exists and that you may write to.`;
  return new InvalidInputError(text, { step: 'write secret file' }, cause);
}

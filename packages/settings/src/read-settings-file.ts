/** Reads a settings file from disk and validates it against a schema. */
import { readFileSync } from 'node:fs';

import { err, type Result } from 'neverthrow';
import type * as z from 'zod';

import { parseSettingsText } from './parse-settings-text.js';
import { SettingsError } from './settings-error.js';

/** Reads and validates the settings file at `path`. An unreadable file is one problem of the error. */
export function readSettingsFile<Schema extends z.ZodType>(
  path: string,
  schema: Schema,
): Result<z.output<Schema>, SettingsError> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (cause) {
    return err(createUnreadableFileError(path, cause));
  }
  return parseSettingsText(text, path, schema);
}

function createUnreadableFileError(
  path: string,
  cause: unknown,
): SettingsError {
  const reason = cause instanceof Error ? cause.message : String(cause);
  const problem = {
    line: 1,
    column: 1,
    keyPath: '',
    found: `no readable file (${reason})`,
    allowed: 'the path of a settings file, given with --settings',
  };
  return new SettingsError(path, [problem], cause);
}

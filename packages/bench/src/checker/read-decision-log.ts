/** Reads decision logs: JSON lines with one record each. */
import { readFile } from 'node:fs/promises';

import { CorruptionError, StorageError } from '@cranberryturn/errors';
import { DecisionKind, type DecisionRecord } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';
import * as z from 'zod';

const recordSchema = z.looseObject({
  kind: z.enum(DecisionKind),
  at: z.number(),
  process: z.string(),
});

/** Reads one decision log. Ignores an incomplete last line, which a killed process may leave. */
export function readDecisionLog(
  path: string,
): ResultAsync<readonly DecisionRecord[], StorageError | CorruptionError> {
  return ResultAsync.fromPromise(
    readFile(path, 'utf8'),
    cause =>
      new StorageError(
        `The decision log ${path} cannot be read; check the path.`,
        { step: 'read decision log' },
        cause,
      ),
  ).andThen(text => parseDecisionLog(text, path));
}

/** Parses the text of a decision log. `name` identifies the log in errors. */
export function parseDecisionLog(
  text: string,
  name: string,
): Result<readonly DecisionRecord[], CorruptionError> {
  const lines = text.split('\n');
  const lastLine = lines.pop() ?? '';
  const records: DecisionRecord[] = [];
  for (const [position, line] of lines.entries()) {
    const record = parseLine(line);
    if (record === undefined) {
      return err(
        new CorruptionError(
          `${name}:${String(position + 1)} is not a decision record; pass a file written by "log.decisionFile".`,
          { step: 'read decision log' },
        ),
      );
    }
    records.push(record);
  }
  const last = parseLine(lastLine);
  if (last !== undefined) records.push(last);
  return ok(records);
}

function parseLine(line: string): DecisionRecord | undefined {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(line));
    return parsed.success
      ? (parsed.data as unknown as DecisionRecord)
      : undefined;
  } catch {
    return undefined;
  }
}

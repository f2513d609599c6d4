/** Reads the structured log lines of a play. Text before the JSON of a line, and lines without JSON, are ignored. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

import * as z from 'zod';

const lineSchema = z.looseObject({
  at: z.iso.datetime(),
  process: z.string(),
  message: z.string(),
});

/** A log line: its time in milliseconds, and all fields as they were written. */
export interface LogLine {
  readonly at: number;
  readonly process: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses one line; undefined when it holds no log line. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{"at":');
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    return undefined;
  }
  const parsed = lineSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { at, process, message, ...fields } = parsed.data;
  return { at: Date.parse(at), process, message, fields };
}

/** Reads all log lines of a file in the order of their time. */
export async function readLog(path: string): Promise<readonly LogLine[]> {
  const lines: LogLine[] = [];
  const reader = createInterface({ input: createReadStream(path, 'utf8') });
  for await (const text of reader) {
    const line = parseLogLine(text);
    if (line !== undefined) lines.push(line);
  }
  return lines.sort((left, right) => left.at - right.at);
}

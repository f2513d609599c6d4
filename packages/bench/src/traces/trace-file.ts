/** Reads and writes traces as JSON lines. */
import { readFile, writeFile } from 'node:fs/promises';

import { CorruptionError, StorageError } from '@cranberryturn/errors';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import {
  type Expectation,
  type ObservedLine,
  parseTraceLine,
  type Trace,
  type TraceEvent,
  type TraceHeader,
  type TraceLine,
  TraceLineKind,
} from './trace-format.js';

/** Reads a trace file. */
export function readTrace(
  path: string,
): ResultAsync<Trace, StorageError | CorruptionError> {
  return ResultAsync.fromPromise(
    readFile(path, 'utf8'),
    cause =>
      new StorageError(
        `The trace ${path} cannot be read; pass a file of bench/traces.`,
        { step: 'read trace' },
        cause,
      ),
  ).andThen(text => parseTrace(text, path));
}

/** Parses the text of a trace. `name` identifies the file in errors. */
export function parseTrace(
  text: string,
  name: string,
): Result<Trace, CorruptionError> {
  const lines: TraceLine[] = [];
  for (const [position, line] of text.trimEnd().split('\n').entries()) {
    const parsed = parseTraceLine(line);
    if (parsed === undefined) {
      return err(
        createCorruptionError(`${name}:${String(position + 1)} is not`),
      );
    }
    lines.push(parsed);
  }
  const [header] = lines;
  if (header?.kind !== TraceLineKind.Header) {
    return err(createCorruptionError(`The first line of ${name} is not`));
  }
  return ok(groupLines(header, lines));
}

/** Writes a trace file. */
export async function writeTrace(path: string, trace: Trace): Promise<void> {
  const lines: readonly TraceLine[] = [
    trace.header,
    ...trace.events,
    ...trace.observed,
    ...trace.expectations.map(expectation => ({
      kind: TraceLineKind.Expected as const,
      expectation,
    })),
  ];
  const text = lines.map(line => JSON.stringify(line)).join('\n');
  await writeFile(path, `${text}\n`);
}

function groupLines(header: TraceHeader, lines: readonly TraceLine[]): Trace {
  const events: TraceEvent[] = [];
  const observed: ObservedLine[] = [];
  const expectations: Expectation[] = [];
  for (const line of lines) {
    switch (line.kind) {
      case TraceLineKind.Header:
        break;
      case TraceLineKind.Submission:
      case TraceLineKind.Cancellation:
      case TraceLineKind.Fault:
        events.push(line);
        break;
      case TraceLineKind.Observed:
        observed.push(line);
        break;
      case TraceLineKind.Expected:
        expectations.push(line.expectation);
        break;
    }
  }
  events.sort((left, right) => left.at - right.at);
  return { header, events, observed, expectations };
}

function createCorruptionError(where: string): CorruptionError {
  return new CorruptionError(
    `${where} a line of a trace; record it again with \`cranberry-bench record\`.`,
    { step: 'read trace' },
  );
}

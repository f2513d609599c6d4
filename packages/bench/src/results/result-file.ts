/** Saves and loads results with the commit and machine that produced them. */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { cpus, totalmem } from 'node:os';
import { dirname } from 'node:path';

import { CorruptionError, StorageError } from '@cranberryturn/errors';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import { readCommit } from './read-commit.js';

/** The machine that produced a result. */
export interface MachineDescription {
  readonly processor: string;
  readonly cores: number;
  readonly memoryGibibytes: number;
  readonly node: string;
}

/** Origin of a result, for its reproduction. */
export interface ResultOrigin {
  /** Abbreviated commit of the working tree; "unknown" outside a repository. */
  readonly commit: string;
  readonly machine: MachineDescription;
  /** Arguments that reproduce the result. */
  readonly command: string;
  readonly seed: number;
}

/** Content of a result file. */
export interface ResultFile<Content> {
  readonly origin: ResultOrigin;
  readonly content: Content;
}

const bytesPerGibibyte = 1_073_741_824;

/** Describes the origin of a result measured now on this machine. */
export async function describeOrigin(
  command: string,
  seed: number,
): Promise<ResultOrigin> {
  const [processor] = cpus();
  return {
    commit: await readCommit(process.cwd()),
    machine: {
      processor: processor?.model ?? 'unknown',
      cores: cpus().length,
      memoryGibibytes: Math.round(totalmem() / bytesPerGibibyte),
      node: process.version,
    },
    command,
    seed,
  };
}

/** Writes a result as JSON and creates missing folders. */
export function saveResult<Content>(
  path: string,
  result: ResultFile<Content>,
): ResultAsync<void, StorageError> {
  const write = async (): Promise<void> => {
    await mkdir(dirname(path), { recursive: true });
    await writeFile(path, `${JSON.stringify(result, null, 2)}\n`);
  };
  return ResultAsync.fromPromise(
    write(),
    cause =>
      new StorageError(
        `The result cannot be written to ${path}; check that the folder can be written.`,
        { step: 'save result' },
        cause,
      ),
  );
}

/** Reads a result written by `saveResult`. Only the presence of origin and content is checked, not the type of the content. */
export function loadResult<Content>(
  path: string,
): ResultAsync<ResultFile<Content>, StorageError | CorruptionError> {
  return ResultAsync.fromPromise(
    readFile(path, 'utf8'),
    cause =>
      new StorageError(
        `The result ${path} cannot be read; give a file that \`cranberry-bench\` saved.`,
        { step: 'load result' },
        cause,
      ),
  ).andThen(text => parseResult<Content>(text, path));
}

function parseResult<Content>(
  text: string,
  path: string,
): Result<ResultFile<Content>, CorruptionError> {
  try {
    const parsed = JSON.parse(text) as Partial<ResultFile<Content>>;
    if (parsed.origin !== undefined && parsed.content !== undefined) {
      return ok({ origin: parsed.origin, content: parsed.content });
    }
  } catch {
    // Invalid JSON is reported below like any other file that is not a result.
  }
  return err(
    new CorruptionError(
      `${path} is not a result of \`cranberry-bench\`; measure again with --save.`,
      { step: 'load result' },
    ),
  );
}

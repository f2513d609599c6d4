/** Options and outputs that several commands share. */
import { InvalidArgumentError } from 'commander';

import {
  describeOrigin,
  loadResult,
  type ResultFile,
  saveResult,
} from '../results/result-file.js';

/** Options of every measuring command. */
export interface MeasuringOptions {
  readonly seed: number;
  readonly json?: boolean;
  readonly save?: string;
  readonly compare?: string;
}

/** Folder of saved results, from the root of the repository. */
export const resultsFolder = 'bench/results';

/** Seed used when none is given. */
export const defaultSeed = 20_261_203;

/** Parses a whole number that is at least one. */
export function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isSafeInteger(count) && count > 0) return count;
  throw new InvalidArgumentError('Give a whole number of 1 or more.');
}

/** Writes one line or block to the standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Prints a result as JSON or as text, and saves it where asked. */
export async function outputResult<Content>(
  command: string,
  options: MeasuringOptions,
  content: Content,
  formatted: string,
): Promise<void> {
  const origin = await describeOrigin(command, options.seed);
  const result: ResultFile<Content> = { origin, content };
  if (options.json === true) {
    print(JSON.stringify(result, null, 2));
  } else {
    const { machine, commit } = origin;
    print(formatted);
    print(
      `seed ${String(options.seed)}, commit ${commit}, ${machine.processor}, ${String(machine.cores)} cores, ${String(machine.memoryGibibytes)} GiB, Node.js ${machine.node}`,
    );
  }
  if (options.save === undefined) return;
  const saved = await saveResult(options.save, result);
  if (saved.isErr()) throw saved.error;
  print(`Saved in ${options.save}.`);
}

/** Reads the result to compare with: a file, or the name of a saved revision. */
export async function loadComparison<Content>(
  fileOrRevision: string,
): Promise<ResultFile<Content>> {
  const path = fileOrRevision.endsWith('.json')
    ? fileOrRevision
    : `${resultsFolder}/${fileOrRevision}.json`;
  const loaded = await loadResult<Content>(path);
  if (loaded.isErr()) throw loaded.error;
  return loaded.value;
}

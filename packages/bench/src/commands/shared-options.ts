/** Options and output shared by several commands. */
import { InvalidArgumentError } from 'commander';

import {
  describeOrigin,
  loadResult,
  type ResultFile,
  saveResult,
} from '../results/result-file.js';

/** Options of every command that measures. */
export interface MeasuringOptions {
  readonly seed: number;
  readonly json?: boolean;
  readonly save?: string;
  readonly compare?: string;
}

/** Folder of saved results, from the root of the repository. */
export const resultsFolder = 'bench/results';

/** Seed of commands without `--seed`. */
export const defaultSeed = 20_261_203;

/** Parses a positive integer. Throws `InvalidArgumentError` for other texts. */
export function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isSafeInteger(count) && count > 0) return count;
  throw new InvalidArgumentError('Give a whole number of 1 or more.');
}

/** Writes `text` and a line break to the standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Prints a result as JSON or as text with its origin, and saves it when `--save` is given. */
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
  print(`Saved to ${options.save}.`);
}

/** Reads the result of `--compare`: a JSON file, or the name of a revision in `resultsFolder`. */
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

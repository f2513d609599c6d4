/** The version of the product, as in the package description. */
import { readFileSync } from 'node:fs';

/** Reads the version that `--version` prints. */
export function readProductVersion(): string {
  const file = new URL('../package.json', import.meta.url);
  const description = JSON.parse(readFileSync(file, 'utf8')) as {
    version: string;
  };
  return description.version;
}

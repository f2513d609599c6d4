/** Version of the product, from `package.json`. */
import { readFileSync } from 'node:fs';

/** Reads the version for `--version`. Throws when `package.json` cannot be read. */
export function readProductVersion(): string {
  const file = new URL('../package.json', import.meta.url);
  const description = JSON.parse(readFileSync(file, 'utf8')) as {
    version: string;
  };
  return description.version;
}

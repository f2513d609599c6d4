/** Reads the commit of a working folder without starting another process. */
import { readFile } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';

const unknownCommit = 'unknown';
const shortCommitCharacters = 10;
const linkPrefix = 'gitdir: ';
const reference = /^ref: (.+)$/;

/** The short commit that is checked out in `folder` or above, or "unknown". */
export async function readCommit(folder: string): Promise<string> {
  const repository = await findRepository(folder);
  if (repository === undefined) return unknownCommit;
  const head = await readText(join(repository, 'HEAD'));
  const name = reference.exec(head ?? '')?.[1];
  const commit =
    name === undefined ? head : await resolveReference(repository, name);
  return commit?.slice(0, shortCommitCharacters) ?? unknownCommit;
}

async function findRepository(folder: string): Promise<string | undefined> {
  const path = join(folder, '.git');
  if ((await readText(join(path, 'HEAD'))) !== undefined) return path;
  const link = await readText(path);
  if (link?.startsWith(linkPrefix) === true) {
    return resolve(folder, link.slice(linkPrefix.length));
  }
  const parent = dirname(folder);
  return parent === folder ? undefined : findRepository(parent);
}

async function resolveReference(
  repository: string,
  name: string,
): Promise<string | undefined> {
  const common = await readText(join(repository, 'commondir'));
  const shared =
    common === undefined ? repository : resolve(repository, common);
  const loose = await readText(join(shared, name));
  if (loose !== undefined) return loose;
  const packed = (await readText(join(shared, 'packed-refs'))) ?? '';
  return packed
    .split('\n')
    .find(line => line.endsWith(` ${name}`))
    ?.split(' ')[0];
}

async function readText(path: string): Promise<string | undefined> {
  try {
    return (await readFile(path, 'utf8')).trim();
  } catch {
    return undefined;
  }
}

/** Reads the commit of a working tree from the files of git, without running git. */
import { readFile } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';

const unknownCommit = 'unknown';
const shortCommitCharacters = 10;
const gitFilePrefix = 'gitdir: ';
const referencePattern = /^ref: (.+)$/;

/** Returns the abbreviated commit checked out in `folder` or the closest parent with a repository; "unknown" without one. */
export async function readCommit(folder: string): Promise<string> {
  const gitFolder = await findGitFolder(folder);
  if (gitFolder === undefined) return unknownCommit;
  const head = await readText(join(gitFolder, 'HEAD'));
  const referenceName = referencePattern.exec(head ?? '')?.[1];
  const commit =
    referenceName === undefined
      ? head
      : await resolveReference(gitFolder, referenceName);
  return commit?.slice(0, shortCommitCharacters) ?? unknownCommit;
}

async function findGitFolder(folder: string): Promise<string | undefined> {
  const path = join(folder, '.git');
  if ((await readText(join(path, 'HEAD'))) !== undefined) return path;
  const gitFileText = await readText(path);
  if (gitFileText?.startsWith(gitFilePrefix) === true) {
    return resolve(folder, gitFileText.slice(gitFilePrefix.length));
  }
  const parent = dirname(folder);
  return parent === folder ? undefined : findGitFolder(parent);
}

async function resolveReference(
  gitFolder: string,
  referenceName: string,
): Promise<string | undefined> {
  const commonFolderText = await readText(join(gitFolder, 'commondir'));
  const commonFolder =
    commonFolderText === undefined
      ? gitFolder
      : resolve(gitFolder, commonFolderText);
  const looseCommit = await readText(join(commonFolder, referenceName));
  if (looseCommit !== undefined) return looseCommit;
  const packedReferences =
    (await readText(join(commonFolder, 'packed-refs'))) ?? '';
  return packedReferences
    .split('\n')
    .find(line => line.endsWith(` ${referenceName}`))
    ?.split(' ')[0];
}

async function readText(path: string): Promise<string | undefined> {
  try {
    return (await readFile(path, 'utf8')).trim();
  } catch {
    return undefined;
  }
}

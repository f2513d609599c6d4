/** Adapter: files of a replica in a folder of the file system. */
import {
  mkdir,
  open,
  readFile,
  readdir,
  rename,
  rm,
  type FileHandle,
} from 'node:fs/promises';
import { dirname, join } from 'node:path';

import { StorageError } from '@cranberryturn/errors';
import { ResultAsync } from 'neverthrow';

import type { LogDisk } from '../ports/log-disk.js';

const temporarySuffix = '.tmp';

/** Creates a disk on a folder. The folder and its parents are created on first use when missing. */
export function createFileLogDisk(folder: string): LogDisk {
  const handles = new Map<string, FileHandle>();
  const createdFiles = new Set<string>();
  let isFolderReady = false;

  const prepareFolder = async (): Promise<void> => {
    if (isFolderReady) return;
    await mkdir(folder, { recursive: true });
    await syncFolder(dirname(folder));
    isFolderReady = true;
  };

  const openForAppend = async (file: string): Promise<FileHandle> => {
    const known = handles.get(file);
    if (known !== undefined) return known;
    await prepareFolder();
    const handle = await open(join(folder, file), 'a');
    handles.set(file, handle);
    createdFiles.add(file);
    return handle;
  };

  const closeHandle = async (file: string): Promise<void> => {
    const handle = handles.get(file);
    handles.delete(file);
    await handle?.close();
  };

  const attempt = <Value>(
    step: string,
    file: string,
    work: () => Promise<Value>,
  ): ResultAsync<Value, StorageError> =>
    ResultAsync.fromPromise(work(), cause =>
      describeFailure(step, join(folder, file), cause),
    );

  return {
    list: () =>
      attempt('list files', '', async () => {
        await prepareFolder();
        const names = await readdir(folder);
        return names.filter(name => !name.endsWith(temporarySuffix)).sort();
      }),
    read: file =>
      attempt('read file', file, () => readIfPresent(join(folder, file))),
    append: (file, bytes) =>
      attempt('append to file', file, async () => {
        const handle = await openForAppend(file);
        await writeAll(handle, bytes);
      }),
    sync: file =>
      attempt('sync file', file, async () => {
        const handle = await openForAppend(file);
        await handle.datasync();
        if (!createdFiles.has(file)) return;
        await syncFolder(folder);
        createdFiles.delete(file);
      }),
    truncate: (file, length) =>
      attempt('truncate file', file, async () => {
        const handle = await openForAppend(file);
        await handle.truncate(length);
        await handle.sync();
      }),
    replace: (file, bytes) =>
      attempt('replace file', file, async () => {
        await prepareFolder();
        await closeHandle(file);
        const temporary = join(folder, file + temporarySuffix);
        await writeTemporary(temporary, bytes);
        await rename(temporary, join(folder, file));
        await syncFolder(folder);
      }),
    remove: file =>
      attempt('remove file', file, async () => {
        await closeHandle(file);
        await rm(join(folder, file), { force: true });
      }),
    close: () =>
      attempt('close files', '', async () => {
        for (const file of [...handles.keys()]) await closeHandle(file);
      }),
  };
}

async function readIfPresent(path: string): Promise<Uint8Array | undefined> {
  try {
    return await readFile(path);
  } catch (cause) {
    if (isMissingFile(cause)) return undefined;
    throw cause;
  }
}

function isMissingFile(cause: unknown): boolean {
  return cause instanceof Error && 'code' in cause && cause.code === 'ENOENT';
}

async function writeAll(handle: FileHandle, bytes: Uint8Array): Promise<void> {
  let written = 0;
  while (written < bytes.length) {
    const { bytesWritten } = await handle.write(bytes, written);
    written += bytesWritten;
  }
}

/** Leaves no file behind after a failure: it would use the last space of a full disk. */
async function writeTemporary(path: string, bytes: Uint8Array): Promise<void> {
  try {
    await writeAndSync(path, bytes);
  } catch (cause) {
    await rm(path, { force: true });
    throw cause;
  }
}

async function writeAndSync(path: string, bytes: Uint8Array): Promise<void> {
  const handle = await open(path, 'w');
  try {
    await writeAll(handle, bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
}

async function syncFolder(path: string): Promise<void> {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

function describeFailure(
  step: string,
  path: string,
  cause: unknown,
): StorageError {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new StorageError(
    `Could not ${step} "${path}": ${reason}. Check the disk and the permissions of the data folder; replace the host if the disk is failing.`,
    { step },
    cause,
  );
}

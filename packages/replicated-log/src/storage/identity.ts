/** Identity of a replica: created with its data folder and never used with another one. */
import { CorruptionError, type StorageError } from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import type { HostName, ReplicaId } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import { StartKind, type LogStart, type SeededStart } from '../log-types.js';
import { MemberRole, type Member } from '../members.js';
import type { LogDisk } from '../ports/log-disk.js';
import type { AcceptedFounders, Ballot } from '../ports/peer-link.js';
import { fileCorrupt, readFramedFile, writeFramedFile } from './framed-file.js';

const identityFile = 'identity';
const folderIdWords = 2;
const wordBound = 0x1_0000_0000;
const hexDigitsPerWord = 8;

/** The data folder of a founding member. */
export interface FounderFolder {
  readonly replicaId: ReplicaId;
  readonly folderId: string;
}

/** What a replica of a seeded start knows of the founding of the log. */
export interface FoundingRecord {
  /** Addresses of the seeds when the identity was created, sorted; later settings may name others. */
  readonly seeds: readonly ReplicaId[];
  /** Address of this host. */
  readonly self: ReplicaId;
  /** Whether this replica answers as a seed. */
  readonly isSeed: boolean;
  /** This replica as a founding member; undefined on a host without a disk. */
  readonly candidate?: Member | undefined;
  /** The highest ballot that this replica has promised as a seed. */
  readonly promised?: Ballot | undefined;
  /** What this replica has accepted last as a seed. */
  readonly accepted?: AcceptedFounders | undefined;
  /** The founding members, once this replica knows what the seeds have decided. */
  readonly decided?: readonly Member[] | undefined;
}

/** Content of the identity file. */
export interface Identity {
  readonly replicaId: ReplicaId;
  /** Random identifier of this data folder. */
  readonly folderId: string;
  /** Founding members of the log; empty for a replica that joined. */
  readonly foundingMembers: readonly Member[];
  /** Data folders of the founding members; undefined until all have replied or are replaced. */
  readonly founders?: readonly FounderFolder[] | undefined;
  /** Data folders of the founding members that this replica has answered. Absent in files of earlier versions. */
  readonly answeredFounders?: readonly FounderFolder[] | undefined;
  /** Set by a seeded start. */
  readonly founding?: FoundingRecord | undefined;
}

/**
 * Reads the identity of a data folder, or creates it when the folder is empty. A folder with files
 * but without an identity is corrupt.
 */
export async function openIdentity(
  disk: LogDisk,
  random: RandomSource,
  start: LogStart,
): Promise<Result<Identity, StorageError | CorruptionError>> {
  const stored = await readFramedFile<Identity>(disk, identityFile);
  if (stored.isErr()) return err(stored.error);
  if (stored.value !== undefined) return ok(stored.value);
  const files = await disk.list();
  if (files.isErr()) return err(files.error);
  if (files.value.length > 0) return err(fileCorrupt(identityFile, 0));
  const identity = createIdentity(random, start);
  const written = await writeIdentity(disk, identity);
  return written.map(() => identity);
}

/** Replaces the identity file. Durable once resolved. */
export function writeIdentity(
  disk: LogDisk,
  identity: Identity,
): Promise<Result<void, StorageError>> {
  return Promise.resolve(writeFramedFile(disk, identityFile, identity));
}

function createIdentity(random: RandomSource, start: LogStart): Identity {
  const folderId = randomDigits(random);
  switch (start.kind) {
    case StartKind.Bootstrap:
      return {
        replicaId: start.replicaId,
        folderId,
        foundingMembers: start.members,
      };
    case StartKind.Join:
      return {
        replicaId: composeReplicaId(start.host, folderId),
        folderId,
        foundingMembers: [],
      };
    case StartKind.Seeded: {
      const replicaId = composeReplicaId(start.host, folderId);
      return {
        replicaId,
        folderId,
        foundingMembers: [],
        founding: composeFoundingRecord(replicaId, start),
      };
    }
  }
}

/** A folder that is lost cannot be mistaken for its successor. */
function composeReplicaId(host: HostName, folderId: string): ReplicaId {
  return `${host}-${folderId}`;
}

function composeFoundingRecord(
  replicaId: ReplicaId,
  { seeds, address, dataCentre, hasDisk, isFirstStart }: SeededStart,
): FoundingRecord {
  const site = dataCentre === undefined ? {} : { dataCentre };
  const role = MemberRole.Voter;
  return {
    seeds: [...new Set(seeds)].sort(),
    self: address,
    isSeed: isFirstStart && seeds.includes(address),
    ...(hasDisk ? { candidate: { replicaId, role, address, ...site } } : {}),
  };
}

function randomDigits(random: RandomSource): string {
  let digits = '';
  for (let word = 0; word < folderIdWords; word += 1) {
    digits += random
      .below(wordBound)
      .toString(16)
      .padStart(hexDigitsPerWord, '0');
  }
  return digits;
}

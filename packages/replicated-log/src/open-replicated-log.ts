/** Opens one replica of the log. */
import { InvalidInputError, type StorageError } from '@cranberryturn/errors';
import type { LogIndex } from '@cranberryturn/types';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import { Bootstrap } from './core/bootstrap.js';
import { Founding } from './core/founding.js';
import { RecoveringLog } from './core/recovering-log.js';
import { Replica } from './core/replica.js';
import { ReplicatedLogService } from './core/service.js';
import { StoredIdentity } from './core/stored-identity.js';
import {
  StartKind,
  type LogStart,
  type OpenLogError,
  type ReplicatedLog,
  type ReplicatedLogOptions,
} from './log-types.js';
import { HardStateWriter } from './storage/hard-state.js';
import { openIdentity } from './storage/identity.js';
import { openStore } from './storage/open-store.js';
import { grantDisk, type RevocableDisk } from './storage/revocable-disk.js';
import type { SegmentWriterEvents } from './storage/segment-writer.js';
import { defaultLogTuning } from './tuning.js';

/**
 * Opens the log in a data folder and starts the replica. Fails when stored data is unreadable or corrupt. A replica that
 * is stopped later by a fault of the disk opens the log again, with growing pauses.
 */
export function openReplicatedLog<Outcome>(
  options: ReplicatedLogOptions<Outcome>,
): ResultAsync<ReplicatedLog<Outcome>, OpenLogError> {
  return new ResultAsync(openLog(options));
}

async function openLog<Outcome>(
  options: ReplicatedLogOptions<Outcome>,
): Promise<Result<ReplicatedLog<Outcome>, OpenLogError>> {
  const checked = checkStart(options.start);
  if (checked.isErr()) return err(checked.error);
  const opened = await openReplica(options, undefined);
  return opened.map(service => {
    service.start();
    return new RecoveringLog(options.timers, service, async former => {
      await former.release();
      return await openReplica(options, former.appliedIndex);
    });
  });
}

async function openReplica<Outcome>(
  options: ReplicatedLogOptions<Outcome>,
  appliedIndex: LogIndex | undefined,
): Promise<Result<ReplicatedLogService<Outcome>, OpenLogError>> {
  const access = grantDisk(options.disk);
  const opened = await openOnDisk(options, access, appliedIndex);
  if (opened.isErr()) await access.revoke();
  return opened;
}

/**
 * Opens a replica from the disk. After a fault of the disk, the state machine already holds the entries up to
 * `appliedIndex`, which are committed.
 */
async function openOnDisk<Outcome>(
  options: ReplicatedLogOptions<Outcome>,
  access: RevocableDisk,
  appliedIndex: LogIndex | undefined,
): Promise<Result<ReplicatedLogService<Outcome>, OpenLogError>> {
  const { timers, random, link, stateMachine } = options;
  const tuning = { ...defaultLogTuning, ...options.tuning };
  const { disk } = access;
  const identity = await openIdentity(disk, random, options.start);
  if (identity.isErr()) return err(identity.error);
  const events = new DeferredEvents();
  const opened = await openStore(disk, timers, events, {
    maximumSegmentBytes: tuning.maximumSegmentBytes,
    isAfterFault: appliedIndex !== undefined,
  });
  if (opened.isErr()) return err(opened.error);
  const { store, hardState, snapshot } = opened.value;
  const isAhead =
    snapshot !== undefined && snapshot.meta.last.index > (appliedIndex ?? 0);
  if (isAhead) stateMachine.restore(snapshot.state, snapshot.meta.last.index);
  const hardStateWriter = new HardStateWriter(disk);
  // The file read above may come from a rename that is not synced yet. Writing the file again syncs the folder.
  const synced = await hardStateWriter.save(hardState);
  if (synced.isErr()) return err(synced.error);
  const replica = new Replica({
    replicaId: identity.value.replicaId,
    disk,
    link,
    timers,
    random,
    tuning,
    store,
    hardStateWriter,
    hardState,
  });
  events.replica = replica;
  const stored = new StoredIdentity(replica, disk, identity.value);
  const replicaStart = {
    bootstrap: new Bootstrap(replica, stored),
    founding: new Founding(replica, stored, options.chooseFounders),
  };
  return ok(
    new ReplicatedLogService(replica, stateMachine, replicaStart, {
      access,
      appliedIndex: Math.max(appliedIndex ?? 0, replica.commitIndex),
    }),
  );
}

/** Forwards events of the segment writer to the replica, which is created after the writer. */
class DeferredEvents implements SegmentWriterEvents {
  replica: Replica | undefined;

  onSynced(): void {
    this.replica?.leadership?.advanceCommit();
  }

  onFailure(error: StorageError): void {
    this.replica?.fail(error);
  }
}

function checkStart(start: LogStart): Result<void, InvalidInputError> {
  if (start.kind !== StartKind.Bootstrap) return ok();
  const isMember = start.members.some(
    member => member.replicaId === start.replicaId,
  );
  if (isMember) return ok();
  return err(
    new InvalidInputError(
      `Replica "${start.replicaId}" is not in the list of founding members. Add it to the list, or start it as a joining replica.`,
      { step: 'open replicated log' },
    ),
  );
}

/** Takes snapshots of the state machine so that the log can be compacted. */
import type { LogIndex } from '@cranberryturn/types';

import { EntryKind, type LogEntry } from '../entries.js';
import type { StateMachine } from '../ports/state-machine.js';
import {
  removeSnapshotsBefore,
  writeSnapshot,
  type Snapshot,
} from '../storage/snapshot-files.js';
import type { Replica } from './replica.js';

/** Takes a snapshot after a number of entries or bytes, one snapshot at a time. */
export class SnapshotTaker {
  readonly #replica: Replica;
  readonly #stateMachine: Pick<StateMachine<unknown>, 'snapshot'>;
  #bytesSinceSnapshot = 0;
  #isTaking = false;

  constructor(
    replica: Replica,
    stateMachine: Pick<StateMachine<unknown>, 'snapshot'>,
  ) {
    this.#replica = replica;
    this.#stateMachine = stateMachine;
  }

  /** Counts the bytes of an applied entry towards the next snapshot. */
  countApplied(entry: LogEntry): void {
    if (entry.kind !== EntryKind.Command) return;
    this.#bytesSinceSnapshot += entry.command.length;
  }

  /** Takes a snapshot at `appliedIndex` if enough was applied since the last one. Saves it in the background. */
  takeIfDue(appliedIndex: LogIndex): void {
    const { store, tuning, isStopped } = this.#replica;
    if (this.#isTaking || isStopped) return;
    const entries = appliedIndex - store.snapshot.last.index;
    const isDue =
      entries >= tuning.snapshotEntries ||
      (entries > 0 && this.#bytesSinceSnapshot >= tuning.snapshotBytes);
    if (!isDue) return;
    const term = store.termAt(appliedIndex);
    if (term === undefined) return;
    this.#bytesSinceSnapshot = 0;
    this.#isTaking = true;
    void this.#saveSnapshot({
      meta: {
        last: { index: appliedIndex, term },
        members: store.membersAt(appliedIndex),
        leaderTime:
          store.entryAt(appliedIndex)?.leaderTime ?? store.lastLeaderTime,
      },
      state: this.#stateMachine.snapshot(),
    });
  }

  async #saveSnapshot(snapshot: Snapshot): Promise<void> {
    const { store, tuning, dependencies } = this.#replica;
    const { index } = snapshot.meta.last;
    const written = await writeSnapshot(dependencies.disk, snapshot);
    if (written.isErr()) {
      this.#replica.fail(written.error);
      return;
    }
    if (this.#replica.isStopped) return;
    const adopted = await store.applyLocalSnapshot(
      snapshot.meta,
      tuning.trailingEntries,
    );
    const removed = adopted.isErr()
      ? adopted
      : await removeSnapshotsBefore(dependencies.disk, index);
    this.#isTaking = false;
    if (removed.isErr()) this.#replica.fail(removed.error);
  }
}

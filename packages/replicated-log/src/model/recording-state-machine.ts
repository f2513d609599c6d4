/** State machine for tests and the model. */
import type { LogIndex } from '@cranberryturn/types';

import type { CommittedEntry, StateMachine } from '../ports/state-machine.js';

/** Records every command with its index. The outcome is the number of recorded commands. */
export class RecordingStateMachine implements StateMachine<number> {
  readonly texts = new Map<LogIndex, string>();
  readonly #onApplied: (entry: CommittedEntry) => void;

  constructor(onApplied: (entry: CommittedEntry) => void = () => undefined) {
    this.#onApplied = onApplied;
  }

  apply(entry: CommittedEntry): number {
    this.texts.set(entry.index, Buffer.from(entry.command).toString());
    this.#onApplied(entry);
    return this.texts.size;
  }

  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify([...this.texts]));
  }

  restore(bytes: Uint8Array): void {
    const texts = JSON.parse(Buffer.from(bytes).toString()) as [
      LogIndex,
      string,
    ][];
    this.texts.clear();
    for (const [index, text] of texts) this.texts.set(index, text);
  }
}

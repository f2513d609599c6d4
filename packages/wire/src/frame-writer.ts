/** Batches outgoing messages. */
import { encodeMessage } from './codec.js';
import type { Connection } from './ports/connection.js';

/** Sends all messages written in one turn of the event loop as one frame, an array of messages. */
export class FrameWriter<Message> {
  readonly #connection: Connection;
  #pending: Message[] = [];

  constructor(connection: Connection) {
    this.#connection = connection;
  }

  write(message: Message): void {
    this.#pending.push(message);
    if (this.#pending.length > 1) return;
    setImmediate(() => {
      this.#flush();
    });
  }

  #flush(): void {
    const messages = this.#pending;
    this.#pending = [];
    this.#connection.send(encodeMessage(messages));
  }
}

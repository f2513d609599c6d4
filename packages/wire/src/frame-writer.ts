import { encodeMessage } from './codec.js';
import type { Connection } from './ports/connection.js';

/** Collects the messages of one turn of the event loop into one frame. */
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

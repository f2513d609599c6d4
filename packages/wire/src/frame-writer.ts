import { encodeMessage } from './codec.js';
import type { Connection } from './ports/connection.js';

/** Collects the messages of one turn of the event loop into one frame. */
export class FrameWriter<Message> {
  readonly #connection: Connection;
  #waiting: Message[] = [];

  constructor(connection: Connection) {
    this.#connection = connection;
  }

  write(message: Message): void {
    this.#waiting.push(message);
    if (this.#waiting.length > 1) return;
    setImmediate(() => {
      this.#flush();
    });
  }

  #flush(): void {
    const messages = this.#waiting;
    this.#waiting = [];
    this.#connection.send(encodeMessage(messages));
  }
}

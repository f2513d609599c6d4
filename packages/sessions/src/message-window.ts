/** Sequence numbers, acknowledgements and the messages kept for another connection. */

const acknowledgeAfterMessages = 64;

/** Messages to put into one frame. */
export interface MessageBatch<Message> {
  /** Sequence of the first message. */
  readonly sequence: number;
  readonly messages: readonly Message[];
}

/** Keeps sent messages until the peer has acknowledged them, and drops duplicates received. */
export class MessageWindow<Message> {
  /** Messages that the peer has not acknowledged, oldest first. */
  #kept: Message[] = [];
  /** Sequence of the first message in `#kept`. */
  #firstKept = 1;
  /** Number of messages in `#kept` that were put into a frame of the present connection. */
  #sent = 0;
  #received = 0;
  #receivedSinceConfirmation = 0;

  get unacknowledged(): number {
    return this.#kept.length;
  }

  get received(): number {
    return this.#received;
  }

  /** Whether so much was received that an acknowledgement must not wait. */
  get mustAcknowledge(): boolean {
    return this.#receivedSinceConfirmation >= acknowledgeAfterMessages;
  }

  push(message: Message): void {
    this.#kept.push(message);
  }

  takeUnsent(): MessageBatch<Message> {
    const sequence = this.#firstKept + this.#sent;
    const messages =
      this.#sent === 0 ? [...this.#kept] : this.#kept.slice(this.#sent);
    this.#sent = this.#kept.length;
    return { sequence, messages };
  }

  /** Forgets messages up to this sequence. */
  acknowledge(sequence: number): void {
    const count = Math.min(sequence - this.#firstKept + 1, this.#kept.length);
    if (count <= 0) return;
    this.#kept.splice(0, count);
    this.#firstKept += count;
    this.#sent = Math.max(0, this.#sent - count);
  }

  /** Makes all kept messages unsent. Returns how many had been sent before. */
  rewind(): number {
    const resent = this.#sent;
    this.#sent = 0;
    return resent;
  }

  /** Returns whether the message with this sequence is the next new one. */
  receive(sequence: number): boolean {
    if (sequence !== this.#received + 1) return false;
    this.#received = sequence;
    this.#receivedSinceConfirmation += 1;
    return true;
  }

  /** The sequence to acknowledge in a frame that is sent now. */
  confirmReceived(): number {
    this.#receivedSinceConfirmation = 0;
    return this.#received;
  }
}

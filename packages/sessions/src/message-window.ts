/** Sequence numbers, acknowledgements and the messages retained for retransmission. */

const acknowledgeAfterMessages = 64;

/** Consecutive messages for one frame. */
export interface MessageBatch<Message> {
  /** Sequence number of the first message. */
  readonly sequence: number;
  readonly messages: readonly Message[];
}

/** Retains sent messages until the peer acknowledges them, and detects duplicates among received ones. */
export class MessageWindow<Message> {
  /** Messages that the peer has not acknowledged, oldest first. */
  #retained: Message[] = [];
  /** Sequence number of the first message in `#retained`. */
  #firstRetainedSequence = 1;
  /** Number of messages in `#retained` that were sent over the current connection. */
  #sentCount = 0;
  #receivedSequence = 0;
  #receivedSinceAcknowledgement = 0;

  get unacknowledged(): number {
    return this.#retained.length;
  }

  get received(): number {
    return this.#receivedSequence;
  }

  /** Whether an acknowledgement is due at once instead of with the next frame. */
  get shouldAcknowledge(): boolean {
    return this.#receivedSinceAcknowledgement >= acknowledgeAfterMessages;
  }

  push(message: Message): void {
    this.#retained.push(message);
  }

  /** Returns the messages not yet sent over the current connection and marks them as sent. */
  takeUnsent(): MessageBatch<Message> {
    const sequence = this.#firstRetainedSequence + this.#sentCount;
    const messages =
      this.#sentCount === 0
        ? [...this.#retained]
        : this.#retained.slice(this.#sentCount);
    this.#sentCount = this.#retained.length;
    return { sequence, messages };
  }

  /** Drops retained messages up to and including this sequence number. */
  acknowledge(sequence: number): void {
    const count = Math.min(
      sequence - this.#firstRetainedSequence + 1,
      this.#retained.length,
    );
    if (count <= 0) return;
    this.#retained.splice(0, count);
    this.#firstRetainedSequence += count;
    this.#sentCount = Math.max(0, this.#sentCount - count);
  }

  /** Marks all retained messages as unsent, for a new connection. Returns how many had been sent before. */
  markAllUnsent(): number {
    const resentCount = this.#sentCount;
    this.#sentCount = 0;
    return resentCount;
  }

  /**
   * Records a received message. Returns false for a duplicate or a message out
   * of order, which the caller drops.
   */
  receive(sequence: number): boolean {
    if (sequence !== this.#receivedSequence + 1) return false;
    this.#receivedSequence = sequence;
    this.#receivedSinceAcknowledgement += 1;
    return true;
  }

  /** Returns the sequence number to acknowledge in the frame sent now. */
  takeAcknowledgement(): number {
    this.#receivedSinceAcknowledgement = 0;
    return this.#receivedSequence;
  }
}

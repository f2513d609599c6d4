/** An unbounded queue of frames between a callback-based source and one asynchronous reader. */
export class FrameQueue {
  readonly #frames: Uint8Array[] = [];
  #isEnded = false;
  #wake: (() => void) | undefined;

  /** Appends a frame. Does nothing once the queue has ended. */
  push(frame: Uint8Array): void {
    if (this.#isEnded) return;
    this.#frames.push(frame);
    this.#wakeReader();
  }

  /** Ends the queue; frames already queued can still be read. */
  end(): void {
    this.#isEnded = true;
    this.#wakeReader();
  }

  /** Waits for the next frame; undefined once the queue has ended and is empty. */
  async next(): Promise<Uint8Array | undefined> {
    for (;;) {
      const frame = this.#frames.shift();
      if (frame !== undefined || this.#isEnded) return frame;
      await new Promise<void>(resolve => {
        this.#wake = resolve;
      });
    }
  }

  /** Yields each frame until the queue has ended and is empty. */
  async *read(): AsyncGenerator<Uint8Array, void, undefined> {
    for (;;) {
      const frame = await this.next();
      if (frame === undefined) return;
      yield frame;
    }
  }

  #wakeReader(): void {
    const wake = this.#wake;
    this.#wake = undefined;
    wake?.();
  }
}

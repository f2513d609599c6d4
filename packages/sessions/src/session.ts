/** A reliable, ordered exchange of messages between two process runs. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import {
  type Connection,
  decodeMessage,
  encodeMessage,
  type PeerIdentity,
} from '@cranberryturn/wire';

import { MessageWindow } from './message-window.js';
import { type SessionFrame, SessionFrameKind } from './session-frames.js';
import { LivenessState, SessionLiveness } from './session-liveness.js';
import {
  type SessionCounts,
  type SessionEndReason,
  type SessionListener,
  type SessionOptions,
} from './session-types.js';

type MutableCounts = { -readonly [Key in keyof SessionCounts]: number };

/** One session. It lives as long as both process runs do, over any number of connections. */
export class Session<Outgoing, Incoming> {
  readonly peer: PeerIdentity;
  readonly session: number;
  readonly #timers: TimerService;
  readonly #liveness: SessionLiveness;
  readonly #listener: SessionListener<Incoming>;
  readonly #window = new MessageWindow<Outgoing>();
  readonly #ticker: TimerSubscription;
  readonly #counts: MutableCounts = {
    framesSent: 0,
    heartbeatsSent: 0,
    messagesSent: 0,
    messagesResent: 0,
    duplicatesReceived: 0,
    connections: 0,
  };
  #connection: Connection | undefined;
  #flushScheduled = false;
  #ended = false;
  #suspected = false;
  #wakeWhenSuspected: (() => void) | undefined;

  constructor(options: SessionOptions<Outgoing, Incoming>) {
    this.peer = options.peer;
    this.session = options.session;
    this.#timers = options.timers;
    this.#liveness = new SessionLiveness(
      options.times,
      options.timers.now(),
      () => this.unacknowledged > 0 || this.#listener.hasWork?.() === true,
    );
    this.#ticker = options.timers.every(
      options.times.heartbeatMilliseconds / 2,
      () => {
        this.#tick();
      },
    );
    this.#listener = options.startSession(options.peer, message => {
      this.send(message);
    });
  }

  get counts(): SessionCounts {
    return this.#counts;
  }

  get isEnded(): boolean {
    return this.#ended;
  }

  /** Whether the peer is silent or the connection ended. */
  get isSuspected(): boolean {
    return this.#suspected;
  }

  /** Number of messages that the peer has not acknowledged. */
  get unacknowledged(): number {
    return this.#window.unacknowledged;
  }

  /** Last message received in order. */
  get received(): number {
    return this.#window.received;
  }

  /** Sends a message, now or over a later connection. */
  send(message: Outgoing): void {
    if (this.#ended) return;
    this.#window.push(message);
    this.#counts.messagesSent += 1;
    this.#scheduleFlush();
  }

  /**
   * Carries the session over this connection from now on, and reads it until
   * it ends. `peerReceived` comes from the Open frame of the peer.
   */
  async serveConnection(
    connection: Connection,
    frames: AsyncIterable<Uint8Array>,
    peerReceived: number,
  ): Promise<void> {
    const previous = this.#connection;
    this.#connection = connection;
    this.#counts.connections += 1;
    this.#liveness.noteConnected(this.#timers.now());
    this.#suspected = false;
    previous?.close();
    this.#window.acknowledge(peerReceived);
    this.#counts.messagesResent += this.#window.rewind();
    this.#listener.connected();
    this.#scheduleFlush();
    await this.#read(connection, frames);
    connection.close();
    if (this.#connection !== connection) return;
    this.#connection = undefined;
    this.#suspect();
  }

  /** Resolves when the session has no live connection, or has ended. */
  async waitUntilSuspected(): Promise<void> {
    if (this.#suspected || this.#ended) return;
    await new Promise<void>(resolve => {
      this.#wakeWhenSuspected = resolve;
    });
  }

  /** The peer was told elsewhere that it is not heard: suspects a connection that is silent here as well. */
  renewIfStale(): void {
    if (this.#liveness.isStale(this.#timers.now())) this.#suspect();
  }

  /** Ends the session. Messages that were not acknowledged may be lost. */
  end(reason: SessionEndReason): void {
    if (this.#ended) return;
    this.#flush();
    this.#ended = true;
    this.#ticker.cancel();
    this.#connection?.close();
    this.#wake();
    this.#listener.ended(reason);
  }

  async #read(
    connection: Connection,
    frames: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    for await (const bytes of frames) {
      if (this.#ended) return;
      const frame = decodeMessage<SessionFrame<Incoming>>(
        bytes,
        this.peer.name,
      );
      if (frame.isErr()) return;
      if (connection === this.#connection) this.#noteAlive(frame.value);
      this.#handle(frame.value);
    }
  }

  #handle(frame: SessionFrame<Incoming>): void {
    this.#window.acknowledge(frame.received);
    switch (frame.kind) {
      case SessionFrameKind.Open:
        return;
      case SessionFrameKind.Data:
        this.#accept(frame.sequence, frame.messages);
        return;
      case SessionFrameKind.Heartbeat:
        if (frame.state === LivenessState.Suspecting) this.#suspect();
        return;
    }
  }

  #accept(first: number, messages: readonly Incoming[]): void {
    let sequence = first;
    for (const message of messages) {
      if (this.#window.receive(sequence)) {
        this.#listener.messageReceived(message);
      } else {
        this.#counts.duplicatesReceived += 1;
      }
      sequence += 1;
    }
    if (this.#window.mustAcknowledge) this.#sendHeartbeat();
  }

  #noteAlive(frame: SessionFrame<Incoming>): void {
    const now = this.#timers.now();
    switch (frame.kind) {
      case SessionFrameKind.Open:
        return;
      case SessionFrameKind.Data:
        this.#liveness.noteDataReceived(now);
        break;
      case SessionFrameKind.Heartbeat:
        this.#liveness.noteHeartbeatReceived(now, frame);
        break;
    }
    if (!this.#suspected) return;
    this.#suspected = false;
    this.#listener.connected();
  }

  #tick(): void {
    const now = this.#timers.now();
    if (this.#liveness.isHeartbeatDue(now)) this.#sendHeartbeat();
    if (this.#liveness.isSilent(now)) this.#suspect();
  }

  #suspect(): void {
    this.#wake();
    if (this.#suspected || this.#ended) return;
    this.#suspected = true;
    this.#listener.suspected();
  }

  #wake(): void {
    const wake = this.#wakeWhenSuspected;
    this.#wakeWhenSuspected = undefined;
    wake?.();
  }

  #scheduleFlush(): void {
    if (this.#flushScheduled || this.#connection === undefined) return;
    this.#flushScheduled = true;
    setImmediate(() => {
      this.#flush();
    });
  }

  /** Sends what waits. False when nothing does. */
  #flush(): boolean {
    this.#flushScheduled = false;
    if (this.#connection === undefined || this.#ended) return false;
    const batch = this.#window.takeUnsent();
    if (batch.messages.length === 0) return false;
    this.#liveness.noteDataSent(this.#timers.now());
    this.#transmit({
      kind: SessionFrameKind.Data,
      sequence: batch.sequence,
      received: this.#window.confirmReceived(),
      messages: batch.messages,
    });
    return true;
  }

  #sendHeartbeat(): void {
    // An acknowledgement must not overtake messages that were sent before it.
    if (this.#flush()) return;
    if (this.#connection === undefined || this.#ended) return;
    this.#counts.heartbeatsSent += 1;
    this.#transmit({
      kind: SessionFrameKind.Heartbeat,
      received: this.#window.confirmReceived(),
      ...this.#liveness.reportHeartbeat(this.#timers.now()),
    });
  }

  #transmit(frame: SessionFrame<Outgoing>): void {
    this.#counts.framesSent += 1;
    this.#connection?.send(encodeMessage(frame));
  }
}

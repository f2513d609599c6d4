/** Reliable, ordered message exchange between two process incarnations. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { CranberryError } from '@cranberryturn/errors';
import {
  type Connection,
  createMessageError,
  decodeMessage,
  encodeMessage,
  type PeerIdentity,
  requireShape,
  type ShapeCheck,
} from '@cranberryturn/wire';

import { MessageWindow } from './message-window.js';
import {
  isSessionFrame,
  type SessionFrame,
  SessionFrameKind,
} from './session-frames.js';
import { LivenessState, SessionLiveness } from './session-liveness.js';
import {
  type SessionCounts,
  type SessionEndReason,
  type SessionListener,
  type SessionOptions,
} from './session-types.js';

type MutableCounts = { -readonly [Key in keyof SessionCounts]: number };

/**
 * One side of a session, which survives its connections and ends when either
 * process restarts or closes it.
 */
export class Session<Outgoing, Incoming> {
  readonly peer: PeerIdentity;
  readonly session: number;
  readonly #timers: TimerService;
  readonly #liveness: SessionLiveness;
  readonly #isMessage: ShapeCheck;
  readonly #listener: SessionListener<Incoming>;
  readonly #messageWindow = new MessageWindow<Outgoing>();
  readonly #tickTimer: TimerSubscription;
  readonly #counts: MutableCounts = {
    framesSent: 0,
    heartbeatsSent: 0,
    messagesSent: 0,
    messagesResent: 0,
    duplicatesReceived: 0,
    connections: 0,
  };
  #connection: Connection | undefined;
  #isFlushScheduled = false;
  #isEnded = false;
  #isSuspected = false;
  #resolveSuspected: (() => void) | undefined;

  constructor(options: SessionOptions<Outgoing, Incoming>) {
    this.peer = options.peer;
    this.session = options.session;
    this.#timers = options.timers;
    this.#isMessage = options.isMessage ?? (() => true);
    this.#liveness = new SessionLiveness(
      options.times,
      options.timers.now(),
      () => this.unacknowledged > 0 || this.#listener.hasWork?.() === true,
    );
    this.#tickTimer = options.timers.every(
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
    return this.#isEnded;
  }

  /** Whether the peer is silent or the connection ended. */
  get isSuspected(): boolean {
    return this.#isSuspected;
  }

  /** Number of messages that the peer has not acknowledged. */
  get unacknowledged(): number {
    return this.#messageWindow.unacknowledged;
  }

  /** Sequence number of the last message received in order. */
  get received(): number {
    return this.#messageWindow.received;
  }

  /** Queues a message for the current or a later connection; does nothing once the session has ended. */
  send(message: Outgoing): void {
    if (this.#isEnded) return;
    this.#messageWindow.push(message);
    this.#counts.messagesSent += 1;
    this.#scheduleFlush();
  }

  /**
   * Replaces the connection of the session, sends unacknowledged messages again
   * and reads frames until the connection ends. `peerReceived` is the
   * acknowledgement in the Open frame of the peer. A frame or message that cannot be handled closes
   * the connection; the session resumes on the next one, after that message.
   */
  async serveConnection(
    connection: Connection,
    frames: AsyncIterable<Uint8Array>,
    peerReceived: number,
  ): Promise<void> {
    const previous = this.#connection;
    this.#connection = connection;
    this.#counts.connections += 1;
    this.#liveness.recordConnection(this.#timers.now());
    this.#isSuspected = false;
    previous?.close();
    this.#messageWindow.acknowledge(peerReceived);
    this.#counts.messagesResent += this.#messageWindow.markAllUnsent();
    this.#listener.connected();
    this.#scheduleFlush();
    connection.close(await this.#readFrames(connection, frames));
    if (this.#connection !== connection) return;
    this.#connection = undefined;
    this.#suspect();
  }

  /** Resolves when the session is suspected or has ended. One caller may wait at a time. */
  async waitUntilSuspected(): Promise<void> {
    if (this.#isSuspected || this.#isEnded) return;
    await new Promise<void>(resolve => {
      this.#resolveSuspected = resolve;
    });
  }

  /**
   * Suspects the connection, which makes the dialling side reconnect, if this
   * side has not heard the peer recently either. Called when the peer reported
   * by another path that it does not hear this side.
   */
  suspectIfStale(): void {
    if (this.#liveness.isStale(this.#timers.now())) this.#suspect();
  }

  /** Ends the session. Messages without an acknowledgement may be lost. */
  end(reason: SessionEndReason): void {
    if (this.#isEnded) return;
    this.#flush();
    this.#isEnded = true;
    this.#tickTimer.cancel();
    this.#connection?.close();
    this.#resolveWaiter();
    this.#listener.ended(reason);
  }

  /** Resolves with the error of a frame that could not be handled; undefined if the connection ended. */
  async #readFrames(
    connection: Connection,
    frames: AsyncIterable<Uint8Array>,
  ): Promise<CranberryError | undefined> {
    const peer = this.peer.name;
    for await (const bytes of frames) {
      if (this.#isEnded) return undefined;
      const frame = decodeMessage<SessionFrame<Incoming>>(bytes, peer);
      if (frame.isErr()) return frame.error;
      if (!isSessionFrame(frame.value)) return createMessageError(peer);
      try {
        if (connection === this.#connection) this.#recordLiveness(frame.value);
        this.#handleFrame(frame.value);
      } catch (cause) {
        return createMessageError(peer, cause);
      }
    }
    return undefined;
  }

  #handleFrame(frame: SessionFrame<Incoming>): void {
    this.#messageWindow.acknowledge(frame.received);
    switch (frame.kind) {
      case SessionFrameKind.Open:
        return;
      case SessionFrameKind.Data:
        this.#receiveMessages(frame.sequence, frame.messages);
        return;
      case SessionFrameKind.Heartbeat:
        if (frame.state === LivenessState.Suspecting) this.#suspect();
        return;
    }
  }

  #receiveMessages(first: number, messages: readonly Incoming[]): void {
    let sequence = first;
    for (const message of messages) {
      if (this.#messageWindow.receive(sequence)) {
        const { name } = this.peer;
        this.#listener.messageReceived(
          requireShape(message, this.#isMessage, name),
        );
      } else {
        this.#counts.duplicatesReceived += 1;
      }
      sequence += 1;
    }
    if (this.#messageWindow.shouldAcknowledge) this.#sendHeartbeat();
  }

  #recordLiveness(frame: SessionFrame<Incoming>): void {
    const now = this.#timers.now();
    switch (frame.kind) {
      case SessionFrameKind.Open:
        return;
      case SessionFrameKind.Data:
        this.#liveness.recordDataReceived(now);
        break;
      case SessionFrameKind.Heartbeat:
        this.#liveness.recordHeartbeatReceived(now, frame);
        break;
    }
    if (!this.#isSuspected) return;
    this.#isSuspected = false;
    this.#listener.connected();
  }

  #tick(): void {
    const now = this.#timers.now();
    if (this.#liveness.isHeartbeatDue(now)) this.#sendHeartbeat();
    if (this.#liveness.isSilent(now)) this.#suspect();
  }

  #suspect(): void {
    this.#resolveWaiter();
    if (this.#isSuspected || this.#isEnded) return;
    this.#isSuspected = true;
    this.#listener.suspected();
  }

  #resolveWaiter(): void {
    const wake = this.#resolveSuspected;
    this.#resolveSuspected = undefined;
    wake?.();
  }

  #scheduleFlush(): void {
    if (this.#isFlushScheduled || this.#connection === undefined) return;
    this.#isFlushScheduled = true;
    setImmediate(() => {
      this.#flush();
    });
  }

  /** Sends all unsent messages in one frame. Returns whether a frame was sent. */
  #flush(): boolean {
    this.#isFlushScheduled = false;
    if (this.#connection === undefined || this.#isEnded) return false;
    const batch = this.#messageWindow.takeUnsent();
    if (batch.messages.length === 0) return false;
    this.#liveness.recordDataSent(this.#timers.now());
    this.#sendFrame({
      kind: SessionFrameKind.Data,
      sequence: batch.sequence,
      received: this.#messageWindow.takeAcknowledgement(),
      messages: batch.messages,
    });
    return true;
  }

  #sendHeartbeat(): void {
    // An acknowledgement must not overtake messages queued before it; their frame carries it instead.
    if (this.#flush()) return;
    if (this.#connection === undefined || this.#isEnded) return;
    this.#counts.heartbeatsSent += 1;
    this.#sendFrame({
      kind: SessionFrameKind.Heartbeat,
      received: this.#messageWindow.takeAcknowledgement(),
      ...this.#liveness.composeReport(this.#timers.now()),
    });
  }

  #sendFrame(frame: SessionFrame<Outgoing>): void {
    this.#counts.framesSent += 1;
    this.#connection?.send(encodeMessage(frame));
  }
}

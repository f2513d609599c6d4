/** One connection of a caller: its requests, the memory that it holds, and whether it can be evicted. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Reservation } from '@cranberryturn/held-memory';
import type { TimerSubscription } from '@cranberryturn/timers';

import { type Intake, IntakeRefusal } from './intake.js';
import { type Refusal, refuseRequest } from './refuse-request.js';

/** What the process does for a request. */
enum RequestState {
  /** The body arrives. */
  Receiving,
  /** The app has the whole request and has not ended the response. */
  InProgress,
  /** The response is on its way to the caller. */
  Responding,
}

/** A request whose response is not finished. */
export interface CallerRequest {
  readonly incoming: IncomingMessage;
  readonly outgoing: ServerResponse;
  readonly headBytes: number;
  state: RequestState;
  /** Memory that the connection holds for the request. */
  bytes: number;
  /** Ends the reception of the body. */
  stopReceiving: () => void;
}

/** Refusal of a single request, with a response. */
export type RequestRefusal =
  | {
      readonly kind: IntakeRefusal.BodyTooLarge;
      /** What is wrong, and what the caller can do. */
      readonly reason: string;
    }
  | { readonly kind: IntakeRefusal.BodyEvicted | IntakeRefusal.NoMemory };

/** Notifies the listener that a connection can be evicted for a new one, or no longer. */
export type NotifyWaiting = (
  connection: CallerConnection,
  isWaiting: boolean,
) => void;

/** A connection can be evicted unless it only waits for the app: ordinary callers send one whole request after the other. */
export class CallerConnection {
  readonly socket: Socket;
  readonly #intake: Intake;
  readonly #notifyWaiting: NotifyWaiting;
  readonly #reservation: Reservation;
  readonly #requests = new Set<CallerRequest>();
  #isEvictable = false;
  #isClosing = false;
  #responseTimeout: TimerSubscription | undefined;

  constructor(socket: Socket, intake: Intake, notifyWaiting: NotifyWaiting) {
    this.socket = socket;
    this.#intake = intake;
    this.#notifyWaiting = notifyWaiting;
    this.#reservation = intake.held.reserve(() => {
      this.#handleEviction();
    });
    this.#reservation.pin();
    notifyWaiting(this, true);
    socket.once('close', () => {
      this.#end();
    });
  }

  /** Whether requests are read no further. */
  get isClosing(): boolean {
    return this.#isClosing || this.socket.destroyed;
  }

  /** Adds a request that begins to arrive; undefined when it was refused. */
  beginRequest(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    headBytes: number,
  ): CallerRequest | undefined {
    if (this.#requests.size >= this.#intake.limits.requestsPerConnection) {
      this.#close(IntakeRefusal.TooManyRequests);
      return undefined;
    }
    const request: CallerRequest = {
      incoming,
      outgoing,
      headBytes,
      state: RequestState.Receiving,
      bytes: 0,
      stopReceiving: () => undefined,
    };
    this.#requests.add(request);
    outgoing.once('close', () => {
      this.#endRequest(request);
    });
    this.#update();
    if (this.resizeRequest(request, headBytes)) return request;
    this.refuse({ kind: IntakeRefusal.NoMemory });
    return undefined;
  }

  /** Changes the memory that the request holds; false when there is no room. */
  resizeRequest(request: CallerRequest, bytes: number): boolean {
    if (this.#isClosing) return false;
    const total = this.#reservation.bytes + bytes - request.bytes;
    if (!this.#reservation.resize(total)) return false;
    request.bytes = bytes;
    return true;
  }

  /** The whole request has arrived. */
  beginWork(request: CallerRequest): void {
    request.state = RequestState.InProgress;
    this.#update();
  }

  /** The app has ended the response, of which the caller may have read only a part. */
  endWork(request: CallerRequest): void {
    const { headBytes, outgoing } = request;
    // The system has taken the whole response; the request ends right after this.
    if (!this.#requests.has(request) || outgoing.writableLength === 0) return;
    request.state = RequestState.Responding;
    if (!this.resizeRequest(request, headBytes + outgoing.writableLength)) {
      this.#close(IntakeRefusal.ResponseUnread);
      return;
    }
    this.#update();
  }

  /** Refuses a request of which nothing was done, and closes the connection. */
  refuse(refusal: RequestRefusal): void {
    const description = describeRefusal(refusal);
    // A caller would mistake the refusal for the response to an earlier request.
    const [request, ...others] = this.#requests;
    if (request === undefined || others.length > 0) {
      this.#close(refusal.kind);
      return;
    }
    if (this.isClosing) return;
    this.#intake.report(refusal.kind);
    this.#isClosing = true;
    this.#releaseAll();
    refuseRequest(request.incoming, description, this.#intake.timers);
  }

  /** Closes the connection for a new one. */
  evict(): void {
    this.#close(IntakeRefusal.ConnectionEvicted);
  }

  #handleEviction(): void {
    if (!this.#isReceiving()) this.#close(IntakeRefusal.ResponseUnread);
    else this.refuse({ kind: IntakeRefusal.BodyEvicted });
  }

  #close(refusal: IntakeRefusal): void {
    if (this.socket.destroyed) return;
    if (!this.#isClosing) this.#intake.report(refusal);
    this.#isClosing = true;
    this.#releaseAll();
    this.socket.destroy();
  }

  #endRequest(request: CallerRequest): void {
    if (!this.#requests.delete(request)) return;
    this.#reservation.record(this.#reservation.bytes - request.bytes);
    this.#update();
  }

  #isReceiving(): boolean {
    for (const { state } of this.#requests)
      if (state === RequestState.Receiving) return true;
    return false;
  }

  /** Whether all unanswered requests are whole, and the app works on one of them. */
  #waitsForApp(): boolean {
    if (this.#isReceiving()) return false;
    for (const { state } of this.#requests)
      if (state === RequestState.InProgress) return true;
    return false;
  }

  #update(): void {
    if (this.#isClosing) return;
    const waitsForApp = this.#waitsForApp();
    this.#notifyWaiting(this, !waitsForApp);
    const isEvictable = !waitsForApp && this.#requests.size > 0;
    if (isEvictable !== this.#isEvictable) {
      this.#isEvictable = isEvictable;
      if (isEvictable) this.#reservation.unpin();
      else this.#reservation.pin();
    }
    this.#updateTimeout(isEvictable && !this.#isReceiving());
  }

  #updateTimeout(isResponding: boolean): void {
    if (isResponding === (this.#responseTimeout !== undefined)) return;
    this.#responseTimeout?.cancel();
    this.#responseTimeout = undefined;
    if (!isResponding) return;
    const { timers, limits } = this.#intake;
    this.#responseTimeout = timers.after(
      limits.responseTimeoutMilliseconds,
      () => {
        this.#close(IntakeRefusal.ResponseUnread);
      },
    );
  }

  #releaseAll(): void {
    this.#reservation.release();
    this.#responseTimeout?.cancel();
    for (const { stopReceiving } of this.#requests) stopReceiving();
    this.#requests.clear();
  }

  #end(): void {
    this.#isClosing = true;
    this.#notifyWaiting(this, false);
    this.#releaseAll();
  }
}

function describeRefusal(refusal: RequestRefusal): Refusal {
  switch (refusal.kind) {
    case IntakeRefusal.BodyTooLarge:
      return { status: '413 Content Too Large', reason: refusal.reason };
    case IntakeRefusal.BodyEvicted:
    case IntakeRefusal.NoMemory:
      return {
        status: '503 Service Unavailable',
        reason: 'This process holds as much as it may; send the request again.',
        retryAfterSeconds: 1,
      };
  }
}

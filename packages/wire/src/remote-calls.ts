/** Remote procedure calls and one-way notices over a connection. */
import {
  ConnectionError,
  type CorruptionError,
  TimeoutError,
} from '@cranberryturn/errors';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import { decodeMessage } from './codec.js';
import { FrameWriter } from './frame-writer.js';
import { createMessageError } from './message-error.js';
import type { Connection } from './ports/connection.js';
import {
  isCount,
  isListOf,
  isRecord,
  isVariant,
  type ShapeCheck,
} from './shapes.js';

enum CallFrameKind {
  Call = 'call',
  Reply = 'reply',
  Notice = 'notice',
}

type CallFrame =
  | {
      readonly kind: CallFrameKind.Call;
      readonly call: number;
      readonly body: unknown;
    }
  | {
      readonly kind: CallFrameKind.Reply;
      readonly call: number;
      readonly body: unknown;
    }
  | { readonly kind: CallFrameKind.Notice; readonly body: unknown };

const isCallFrames = isListOf(
  isVariant('kind', {
    [CallFrameKind.Call]: isRecord({ call: isCount }),
    [CallFrameKind.Reply]: isRecord({ call: isCount }),
    [CallFrameKind.Notice]: isRecord({}),
  }),
);

interface PendingCall {
  readonly resolve: (
    result: Result<unknown, ConnectionError | TimeoutError>,
  ) => void;
  readonly expiry: TimerSubscription;
}

/** Handlers for the calls and notices of the peer. */
export interface RemoteCallHandlers {
  /** Answers one call. The connection is closed if the handler throws or its promise rejects. */
  readonly handleCall: (body: unknown) => Promise<unknown>;
  /**
   * Handles one notice. Notices are dropped if this handler is missing. The connection is closed if
   * it throws.
   */
  readonly handleNotice?: (body: unknown) => void;
}

/** Calls over one connection; both ends may call at the same time. */
export interface RemoteCalls {
  readonly connection: Connection;
  /**
   * Calls the peer. After a ConnectionError or a TimeoutError the peer may
   * still have processed the call. A reply that fails the check closes the connection.
   */
  call<Reply>(
    body: unknown,
    timeout: Milliseconds,
    isReply?: ShapeCheck,
  ): ResultAsync<Reply, ConnectionError | TimeoutError>;
  /** Sends a one-way notice. Delivery is not confirmed. */
  notify(body: unknown): void;
  /** Resolves when the connection has ended. */
  readonly ended: Promise<void>;
  /** Time, by the timer service, at which the last frame was received. */
  lastReceived(): Milliseconds;
}

/**
 * Starts to serve and make calls on a connection, and becomes its only reader. Closes the connection
 * if a frame cannot be decoded or handled, so that a fault of one peer affects no other.
 */
export function serveRemoteCalls(
  connection: Connection,
  timers: TimerService,
  handlers: RemoteCallHandlers,
): RemoteCalls {
  const pending = new Map<number, PendingCall>();
  const writer = new FrameWriter<CallFrame>(connection);
  const peer = connection.peer.name;
  let nextCall = 1;
  let isOpen = true;
  let lastReceived = timers.now();

  const answer = async (call: number, body: unknown): Promise<void> => {
    try {
      const reply = await handlers.handleCall(body);
      writer.write({ kind: CallFrameKind.Reply, call, body: reply });
    } catch (cause) {
      connection.close(createMessageError(peer, cause));
    }
  };

  const resolveCall = (call: number, body: unknown): void => {
    const pendingCall = pending.get(call);
    if (pendingCall === undefined) return;
    pending.delete(call);
    pendingCall.expiry.cancel();
    pendingCall.resolve(ok(body));
  };

  const handleFrame = (frame: CallFrame): void => {
    switch (frame.kind) {
      case CallFrameKind.Call:
        void answer(frame.call, frame.body);
        return;
      case CallFrameKind.Reply:
        resolveCall(frame.call, frame.body);
        return;
      case CallFrameKind.Notice:
        handlers.handleNotice?.(frame.body);
        return;
    }
  };

  /** Returns the error if the frames cannot be decoded or handled. */
  const handleFrames = (bytes: Uint8Array): CorruptionError | undefined => {
    const frames = decodeMessage<readonly CallFrame[]>(bytes, peer);
    if (frames.isErr()) return frames.error;
    if (!isCallFrames(frames.value)) return createMessageError(peer);
    try {
      for (const frame of frames.value) handleFrame(frame);
      return undefined;
    } catch (cause) {
      return createMessageError(peer, cause);
    }
  };

  const readFrames = async (): Promise<void> => {
    let failure: CorruptionError | undefined;
    for await (const bytes of connection.receive()) {
      lastReceived = timers.now();
      failure = handleFrames(bytes);
      if (failure !== undefined) break;
    }
    connection.close(failure);
    isOpen = false;
    failPending(pending, peer);
  };

  const call = (
    body: unknown,
    timeout: Milliseconds,
  ): Promise<Result<unknown, ConnectionError | TimeoutError>> => {
    if (!isOpen) return Promise.resolve(err(createEndError(peer)));
    const number = nextCall++;
    return new Promise(resolve => {
      const expiry = timers.after(timeout, () => {
        pending.delete(number);
        resolve(err(createTimeoutError(peer, timeout)));
      });
      pending.set(number, { resolve, expiry });
      writer.write({ kind: CallFrameKind.Call, call: number, body });
    });
  };

  return {
    connection,
    call: <Reply>(
      body: unknown,
      timeout: Milliseconds,
      isReply: ShapeCheck = () => true,
    ) =>
      new ResultAsync(call(body, timeout)).andThen(reply => {
        if (isReply(reply)) return ok(reply as Reply);
        connection.close(createMessageError(peer));
        return err(createEndError(peer));
      }),
    notify: body => {
      writer.write({ kind: CallFrameKind.Notice, body });
    },
    ended: readFrames(),
    lastReceived: () => lastReceived,
  };
}

function failPending(pending: Map<number, PendingCall>, peer: string): void {
  for (const pendingCall of pending.values()) {
    pendingCall.expiry.cancel();
    pendingCall.resolve(err(createEndError(peer)));
  }
  pending.clear();
}

function createEndError(peer: string): ConnectionError {
  return new ConnectionError(`The connection to ${peer} ended.`, {
    step: 'call',
    peer,
  });
}

function createTimeoutError(peer: string, timeout: Milliseconds): TimeoutError {
  return new TimeoutError(
    `${peer} did not answer within ${String(timeout)} ms.`,
    { step: 'call', peer },
  );
}

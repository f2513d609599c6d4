/** Wire frames of a session. */
import {
  isAmount,
  isCount,
  isListOf,
  isOneOf,
  isRecord,
  isVariant,
} from '@cranberryturn/wire';

import { type LivenessReport, LivenessState } from './session-liveness.js';

/** Sequence number of a message in one direction of a session, starting at 1. */
export type MessageSequence = number;

/** The kinds of frame. */
export enum SessionFrameKind {
  Open = 'open',
  Data = 'data',
  Heartbeat = 'heartbeat',
}

/** First frame in both directions of each connection. */
export interface OpenFrame {
  readonly kind: SessionFrameKind.Open;
  /** Number chosen by the dialling side; another number replaces the session. */
  readonly session: number;
  /** Last message received in order over all connections of the session; acknowledges it and all before. */
  readonly received: MessageSequence;
}

/** Carries messages in order. */
export interface DataFrame<Message> {
  readonly kind: SessionFrameKind.Data;
  /** Sequence number of the first message; the others follow without gaps. */
  readonly sequence: MessageSequence;
  readonly received: MessageSequence;
  readonly messages: readonly Message[];
}

/** Shows that the sender is alive, and acknowledges, when there is no data to send. */
export interface HeartbeatFrame extends LivenessReport {
  readonly kind: SessionFrameKind.Heartbeat;
  readonly received: MessageSequence;
}

/** A frame of a session. */
export type SessionFrame<Message> =
  OpenFrame | DataFrame<Message> | HeartbeatFrame;

/** Whether a decoded frame has the shape of a session frame; the messages are not checked. */
export const isSessionFrame = isVariant('kind', {
  [SessionFrameKind.Open]: isRecord({ session: isCount, received: isCount }),
  [SessionFrameKind.Data]: isRecord({
    sequence: isCount,
    received: isCount,
    messages: isListOf(() => true),
  }),
  [SessionFrameKind.Heartbeat]: isRecord({
    received: isCount,
    state: isOneOf(LivenessState),
    nextMilliseconds: isAmount,
  }),
});

/** Frames that carry a session over its connections. */
import type { LivenessReport } from './session-liveness.js';

/** Number of a message within one direction of a session. The first is 1. */
export type MessageSequence = number;

/** The kinds of frame. */
export enum SessionFrameKind {
  Open = 'open',
  Data = 'data',
  Heartbeat = 'heartbeat',
}

/** First frame in both directions of each connection of a session. */
export interface OpenFrame {
  readonly kind: SessionFrameKind.Open;
  /** Chosen by the dialling end; another number is another session. */
  readonly session: number;
  /** Last message received in order over all connections of the session. */
  readonly received: MessageSequence;
}

/** Carries messages in order. */
export interface DataFrame<Message> {
  readonly kind: SessionFrameKind.Data;
  /** Sequence of the first message of the frame. */
  readonly sequence: MessageSequence;
  readonly received: MessageSequence;
  readonly messages: readonly Message[];
}

/** Shows that the sender is alive when there is no data to send. */
export interface HeartbeatFrame extends LivenessReport {
  readonly kind: SessionFrameKind.Heartbeat;
  readonly received: MessageSequence;
}

/** A frame of a session. */
export type SessionFrame<Message> =
  OpenFrame | DataFrame<Message> | HeartbeatFrame;

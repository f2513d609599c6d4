/** Events of the watch of control, for log lines. */
import type { Milliseconds } from '@cranberryturn/types';

/** What happens to the watch of control. */
export enum WatchEventKind {
  Watched = 'control host watched',
  Left = 'control host left',
  NoHost = 'no control host is connected',
  Silent = 'control host silent; connection closed',
  Search = 'proof of control too old; all control hosts are asked',
}

/** Why a control host is watched no longer. */
export enum LeaveReason {
  ConnectionEnded = 'connection-ended',
  /** Another host has a newer proof. */
  ProofTooOld = 'proof-too-old',
}

/** An event of the watch, for log lines. */
export type WatchEvent =
  | {
      readonly kind: WatchEventKind.Watched | WatchEventKind.Silent;
      readonly controlHost: string;
    }
  | {
      readonly kind: WatchEventKind.Left;
      readonly controlHost: string;
      readonly reason: LeaveReason;
    }
  | { readonly kind: WatchEventKind.NoHost | WatchEventKind.Search };

/** Handles an event; the age is that of the newest proof of control, undefined before the first one. */
export type WatchEventHandler = (
  event: WatchEvent,
  proofAgeMilliseconds: Milliseconds | undefined,
) => void;

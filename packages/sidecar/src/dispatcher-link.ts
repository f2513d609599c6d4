/** One dispatcher that a sidecar dials, and when its session may be left. */
import type { Session, SessionDialer } from '@cranberryturn/sessions';
import type {
  DispatcherId,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import type { FromTargetMessage, ToTargetMessage } from '@cranberryturn/wire';

import type { ServedDispatcher } from './served-dispatchers.js';

/** A session with a dispatcher. */
export type DispatcherSession = Session<FromTargetMessage, ToTargetMessage>;

/** How far the session is on its way out. */
export enum LinkPhase {
  Active = 'wanted',
  /** Takes no new work; what is in flight ends first. */
  Leaving = 'leaving',
  /** The dispatcher is told; the connection is closed next. */
  Left = 'left',
}

/** One dispatcher that is dialled. */
export interface DispatcherLink {
  readonly address: NetworkAddress;
  readonly isSeed: boolean;
  dialer: SessionDialer<FromTargetMessage, ToTargetMessage> | undefined;
  served: ServedDispatcher | undefined;
  phase: LinkPhase;
  /** Start of the phase. */
  phaseStartedAt: Milliseconds;
  /** A session on demand is not left before. */
  keptUntil: Milliseconds;
}

const leaveAcknowledgementMilliseconds: Milliseconds = 5_000;
const suspectedLeaveMilliseconds: Milliseconds = 600_000;

/**
 * Whether the dispatcher has acknowledged that the target takes no more of its
 * work, so every start that it sent before has arrived, and all of its results as well.
 */
export function canLeave(
  link: DispatcherLink,
  now: Milliseconds,
  hasWorkFor: (dispatcher: DispatcherId) => boolean,
): boolean {
  if (now < link.keptUntil || now === link.phaseStartedAt) return false;
  const session = link.dialer?.current();
  if (session === undefined) return true;
  if (session.isSuspected)
    return now - link.phaseStartedAt >= suspectedLeaveMilliseconds;
  if (session.unacknowledged > 0) return false;
  return !hasWorkFor(session.peer.name);
}

/** Whether the dispatcher was told that the session is left, or cannot be. */
export function canClose(link: DispatcherLink, now: Milliseconds): boolean {
  const session = link.dialer?.current();
  if (session === undefined || session.isSuspected) return true;
  return (
    session.unacknowledged === 0 ||
    now - link.phaseStartedAt >= leaveAcknowledgementMilliseconds
  );
}

/** Whether both addresses are the same. */
export function isSameAddress(
  left: NetworkAddress,
  right: NetworkAddress,
): boolean {
  return left.address === right.address && left.port === right.port;
}

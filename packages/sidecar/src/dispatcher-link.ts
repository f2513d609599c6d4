/** State of the link from a sidecar to one dispatcher, and the conditions for ending its session. */
import type { Session, SessionDialer } from '@cranberryturn/sessions';
import type {
  DispatcherId,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import type { FromTargetMessage, ToTargetMessage } from '@cranberryturn/wire';

import type { ServedDispatcher } from './served-dispatchers.js';

/** The session of a sidecar with a dispatcher. */
export type DispatcherSession = Session<FromTargetMessage, ToTargetMessage>;

/** Lifecycle of a link. */
export enum LinkPhase {
  Active = 'wanted',
  /** Reports the target as draining to this dispatcher; attempts in flight finish first. */
  Leaving = 'leaving',
  /** `SessionLeft` was sent; the link closes once it is acknowledged. */
  Left = 'left',
}

/** A dispatcher that the sidecar dials. */
export interface DispatcherLink {
  readonly address: NetworkAddress;
  /** Whether the address comes from the settings rather than from a session plan. */
  readonly isSeed: boolean;
  dialer: SessionDialer<FromTargetMessage, ToTargetMessage> | undefined;
  served: ServedDispatcher | undefined;
  phase: LinkPhase;
  phaseStartedAt: Milliseconds;
  /** Earliest time at which a session opened on demand is left. */
  keptUntil: Milliseconds;
}

/** How long a link waits for the acknowledgement of `SessionLeft`. */
const leaveAcknowledgementMilliseconds: Milliseconds = 5_000;
/** How long a silent session stays in `Leaving` before it is given up. */
const suspectedLeaveMilliseconds: Milliseconds = 600_000;

/**
 * Returns whether a link in phase `Leaving` can move to `Left`: the dispatcher
 * has acknowledged the draining report and all results, so every start that it
 * sent earlier has arrived, and none of its work is in flight here.
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

/**
 * Returns whether a link in phase `Left` can be closed: `SessionLeft` was
 * acknowledged, timed out or cannot be delivered.
 */
export function canClose(link: DispatcherLink, now: Milliseconds): boolean {
  const session = link.dialer?.current();
  if (session === undefined || session.isSuspected) return true;
  return (
    session.unacknowledged === 0 ||
    now - link.phaseStartedAt >= leaveAcknowledgementMilliseconds
  );
}

/** Returns whether IP address and port are equal. */
export function isSameAddress(
  left: NetworkAddress,
  right: NetworkAddress,
): boolean {
  return left.address === right.address && left.port === right.port;
}

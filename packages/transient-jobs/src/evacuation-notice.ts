/** Decides when a sidecar has to be sent the state of evacuations. */
import type { EvacuationVersion, Milliseconds } from '@cranberryturn/types';

/** Sidecars name the version in each message, and send one at least every 450 ms. */
const firstRepeatMilliseconds: Milliseconds = 500;
/** A sidecar that never names a version has the option off or an earlier version, and costs little this way. */
const maximumRepeatMilliseconds: Milliseconds = 4_000;

/** What was sent in the session of a sidecar, and what the sidecar has confirmed. */
export interface EvacuationNotices {
  /** Highest version sent; undefined before the first notice. */
  sentVersion: EvacuationVersion | undefined;
  /** Whether a state that control had proved was sent; a sidecar that has just started waits for one. */
  isProofSent: boolean;
  sentAt: Milliseconds;
  /** Time after which an unconfirmed notice is repeated. */
  repeatMilliseconds: Milliseconds;
  /** Version that the latest message of the sidecar names; undefined for none. */
  confirmedVersion: EvacuationVersion | undefined;
}

/** The state to send. */
export interface SendableEvacuations {
  readonly version: EvacuationVersion;
  readonly isProved: boolean;
}

/** Creates the notices of a session in which none was sent. */
export function createEvacuationNotices(): EvacuationNotices {
  return {
    sentVersion: undefined,
    isProofSent: false,
    sentAt: 0,
    repeatMilliseconds: firstRepeatMilliseconds,
    confirmedVersion: undefined,
  };
}

/** Whether the sidecar has named the version or a higher one. */
export function isConfirmed(
  { confirmedVersion }: EvacuationNotices,
  version: EvacuationVersion,
): boolean {
  return confirmedVersion !== undefined && confirmedVersion >= version;
}

/** Whether the state has to be sent now: the sidecar has not been sent it or its proof, or a confirmation is overdue. */
export function isNoticeDue(
  notices: EvacuationNotices,
  { version, isProved }: SendableEvacuations,
  now: Milliseconds,
): boolean {
  const { sentVersion, isProofSent, sentAt, repeatMilliseconds } = notices;
  if (sentVersion === undefined || sentVersion < version) return true;
  if (isProved && !isProofSent) return true;
  return !isConfirmed(notices, version) && now - sentAt >= repeatMilliseconds;
}

/** Records that the state is sent now. */
export function recordNotice(
  notices: EvacuationNotices,
  { version, isProved }: SendableEvacuations,
  now: Milliseconds,
): void {
  const isRepeated = notices.sentVersion === version;
  notices.repeatMilliseconds = isRepeated
    ? Math.min(maximumRepeatMilliseconds, 2 * notices.repeatMilliseconds)
    : firstRepeatMilliseconds;
  notices.sentVersion = version;
  notices.isProofSent ||= isProved;
  notices.sentAt = now;
}

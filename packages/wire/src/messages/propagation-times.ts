/**
 * How soon an acknowledged change is in force at every dispatcher: one sum, derived from the bounds of the deployment
 * (docs/decisions/followers-freshness.md).
 */
import type { Milliseconds } from '@cranberryturn/types';

/** Bounds of a deployment that the times are derived from. */
export interface PropagationBounds {
  /** Longest time from the acknowledgement of a change until it is in force at every dispatcher in contact with control. */
  readonly applyMilliseconds: Milliseconds;
  /** Longest time from the end of a disruption until the processes concerned are in contact again. */
  readonly contactMilliseconds: Milliseconds;
}

/** Times of a process that follows control, or of a control replica that follows its leader. */
export interface PropagationTimes {
  /** Age of a proof above which an older version may be held than the one in force elsewhere. */
  readonly applyMilliseconds: Milliseconds;
  /**
   * With an older proof a control host sends no updates: a process that has just started would take them for the newest.
   */
  readonly maximumProofAgeMilliseconds: Milliseconds;
  /** Interval at which a dispatcher looks at its proofs and its connections. */
  readonly checkMilliseconds: Milliseconds;
  /** Interval at which a dispatcher asks the control host that it watches for a proof. */
  readonly renewalMilliseconds: Milliseconds;
  /** Age of the proof of the watched control host from which on all control hosts are asked. */
  readonly suspicionMilliseconds: Milliseconds;
  /** Interval at which all control hosts are asked. */
  readonly searchMilliseconds: Milliseconds;
  /** Time without a frame after which a connection with an unanswered call is closed. */
  readonly silenceMilliseconds: Milliseconds;
  readonly dialMilliseconds: Milliseconds;
  readonly maximumBackoffMilliseconds: Milliseconds;
}

/** Above the age of suspicion, so that dispatchers look for another host before theirs stops to send updates. */
const proofShare = 0.75;
const checksPerApply = 20;
const renewalsPerApply = 5;
const searchesPerApply = 8;
/** The other half is left for the answer of another host, and for processes that are behind. */
const suspicionShare = 0.5;
/** Silence, or a dial that fails and the wait that follows it, take half of the contact time at most. */
const contactShare = 0.25;

/** Bounds of a deployment that states none. */
export const defaultPropagationBounds: PropagationBounds = {
  applyMilliseconds: 2_000,
  contactMilliseconds: 3_000,
};

/** Derives the times from the bounds. */
export function derivePropagationTimes({
  applyMilliseconds,
  contactMilliseconds,
}: PropagationBounds): PropagationTimes {
  const contactPart = contactMilliseconds * contactShare;
  return {
    applyMilliseconds,
    maximumProofAgeMilliseconds: applyMilliseconds * proofShare,
    checkMilliseconds: applyMilliseconds / checksPerApply,
    renewalMilliseconds: applyMilliseconds / renewalsPerApply,
    suspicionMilliseconds: applyMilliseconds * suspicionShare,
    searchMilliseconds: applyMilliseconds / searchesPerApply,
    silenceMilliseconds: contactPart,
    dialMilliseconds: contactPart,
    maximumBackoffMilliseconds: contactPart,
  };
}

/** Times with the default bounds. */
export const defaultPropagationTimes: PropagationTimes = derivePropagationTimes(
  defaultPropagationBounds,
);

/** Age of the proof of a leader above which a control host counts as cut off, where no bounds are known. */
export const maximumProofAge: Milliseconds =
  defaultPropagationTimes.maximumProofAgeMilliseconds;

/**
 * Decides whether control has recently proved the state of evacuations that a dispatcher knows. A control
 * host proves its leadership to a new follower before it sends what the follower has missed, so a proof
 * counts only once an update has arrived or would have arrived.
 */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Control sends a new follower what it has missed 10 ms after the proof; the rest is for slow hosts. */
const settleMilliseconds: Milliseconds = 250;
const checkIntervalMilliseconds: Milliseconds = 100;

/** What the proof depends on. */
export interface EvacuationProofDependencies {
  readonly timers: TimerService;
  /** Whether the last proof of a leader with a majority is recent. */
  readonly isFresh: () => boolean;
  /** Whether control has sent a configuration, which follows the evacuations. */
  readonly hasConfiguration: () => boolean;
}

/** Whether the known state is proved. */
export interface EvacuationProof {
  isProved(): boolean;
  /** To be called when another control host is watched. */
  hostChanged(): void;
  /** To be called with each state of the evacuations and each publication. */
  updateReceived(): void;
  stop(): void;
}

/** Starts to follow the proofs of control. */
export function followEvacuationProof({
  timers,
  isFresh,
  hasConfiguration,
}: EvacuationProofDependencies): EvacuationProof {
  /** Since when the proofs have been recent without a break; undefined while they are not. */
  let freshSince: Milliseconds | undefined;
  const check = (): void => {
    if (isFresh()) freshSince ??= timers.now();
    else freshSince = undefined;
  };
  const timer = timers.every(checkIntervalMilliseconds, check);
  return {
    isProved: () => {
      check();
      if (freshSince === undefined || !hasConfiguration()) return false;
      return timers.now() - freshSince >= settleMilliseconds;
    },
    hostChanged: () => {
      freshSince = undefined;
    },
    updateReceived: () => {
      if (isFresh()) freshSince = -Infinity;
    },
    stop: () => {
      timer.cancel();
    },
  };
}

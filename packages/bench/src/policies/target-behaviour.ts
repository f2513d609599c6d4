/** Failure behaviours of fake targets. */
import type { Milliseconds } from '@cranberryturn/types';

/** Failure behaviour of a fake target. */
export enum TargetBehaviour {
  Healthy = 'healthy',
  /** Fails every task at once. */
  FailsAtOnce = 'fails-at-once',
  /** Tasks take ten times as long. */
  Slow = 'slow',
  /** Alternates between two seconds of failing every task at once and two seconds of normal operation. */
  Flaps = 'flaps',
}

const flapPhaseMilliseconds: Milliseconds = 2_000;

/** Whether a task that starts now fails at once. */
export function isFailing(
  behaviour: TargetBehaviour,
  now: Milliseconds,
): boolean {
  switch (behaviour) {
    case TargetBehaviour.Healthy:
    case TargetBehaviour.Slow:
      return false;
    case TargetBehaviour.FailsAtOnce:
      return true;
    case TargetBehaviour.Flaps:
      return Math.floor(now / flapPhaseMilliseconds) % 2 === 0;
  }
}

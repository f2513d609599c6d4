/** How fake targets fail. */
import type { Milliseconds } from '@cranberryturn/types';

/** How a fake target treats its tasks. */
export enum TargetBehaviour {
  Healthy = 'healthy',
  /** It fails every task at once. */
  FailsAtOnce = 'fails-at-once',
  /** Its tasks take ten times as long. */
  Slow = 'slow',
  /** It fails every task at once for two seconds, then works for two. */
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

/**
 * Whether a run that takes far longer than estimated is stopped and started again elsewhere. Answers
 * workers that turn slow or stand still while they seem healthy. What was done of the run is lost.
 */
import type { Milliseconds } from '@cranberryturn/types';

/** The new run must end clearly sooner: its own time is an estimate too. */
const leastGain = 1.5;
/** Time to stop the run and to send it again. */
const moveTime: Milliseconds = 60;

export function isWorthMoving(
  remaining: Milliseconds,
  elsewhere: Milliseconds,
): boolean {
  return remaining > elsewhere * leastGain + moveTime;
}

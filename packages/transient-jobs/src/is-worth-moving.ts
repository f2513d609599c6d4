/**
 * Whether a run that takes far longer than estimated is stopped and started again elsewhere. Answers
 * workers that turn slow or stand still while they seem healthy. What was done of the run is lost, so
 * a run moves only where that saves its job, or where it stands still.
 */
import type { Milliseconds } from '@cranberryturn/types';

/** The new run must end clearly sooner: its own time is an estimate too. */
const leastGain = 1.5;
/** A run that takes this many times as long as elsewhere is taken to stand still. */
const stillGain = 8;
/** Time to stop the run and to send it again. */
const moveTime: Milliseconds = 60;

/** Expected times from now on. */
export interface MoveQuestion {
  /** Until the run ends where it is. */
  readonly remaining: Milliseconds;
  /** Until it would end elsewhere. */
  readonly elsewhere: Milliseconds;
  /** Until its job should have ended; less than 0 when it is late. */
  readonly due: Milliseconds;
}

export function isWorthMoving({
  remaining,
  elsewhere,
  due,
}: MoveQuestion): boolean {
  const moved = elsewhere + moveTime;
  const savesJob = remaining > due && moved <= due;
  if (savesJob) return remaining > moved * leastGain;
  return remaining > moved * stillGain;
}

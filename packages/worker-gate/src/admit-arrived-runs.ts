/** Decides when the runs of an order may start. */
import { type ActiveRun, RunPhase } from './active-run.js';

/**
 * Lets runs start once all messages of the frame that brought their order have been handled: a session that resumes delivers
 * an order together with the stop that followed it. `admitted` is called then, in the order of the calls.
 */
export function admitArrivedRuns(
  runs: readonly ActiveRun[],
  admitted: () => void,
): void {
  queueMicrotask(() => {
    for (const run of runs) {
      if (run.phase === RunPhase.Arrived) run.phase = RunPhase.Waiting;
    }
    admitted();
  });
}

/** Runs one random trace per seed and lists the violated guarantees. */
import { simulateTrace, UnendedTraceError } from '../traces/replay-trace.js';
import { SubmissionOutcome } from '../load/job-client.js';
import type { CompletedSubmission } from '../load/run-load.js';
import { findSweepViolations } from './find-sweep-violations.js';
import { planSweepTrace } from './plan-sweep-trace.js';

/** Result of the trace of one seed. */
export interface SweepRun {
  readonly seed: number;
  readonly submissions: number;
  readonly complete: number;
  /** Violated guarantees, one description each. */
  readonly violations: readonly string[];
}

/** Runs the trace of one seed. A trace that does not end in time is a violation. */
export async function runSweepSeed(seed: number): Promise<SweepRun> {
  const trace = planSweepTrace(seed);
  try {
    return await simulateTrace(trace, (submissions, system) => ({
      seed,
      submissions: submissions.length,
      complete: countComplete(submissions),
      violations: findSweepViolations(submissions, system),
    }));
  } catch (error) {
    if (!(error instanceof UnendedTraceError)) throw error;
    return { seed, submissions: 0, complete: 0, violations: [error.message] };
  }
}

function countComplete(submissions: readonly CompletedSubmission[]): number {
  return submissions.filter(
    ({ reply }) => reply.outcome === SubmissionOutcome.Complete,
  ).length;
}

/** Runs the traces of `runs` consecutive seeds and calls `onRun` after each. */
export async function runSweep(
  firstSeed: number,
  runs: number,
  onRun: (run: SweepRun) => void = () => undefined,
): Promise<readonly SweepRun[]> {
  const results: SweepRun[] = [];
  for (let number = 0; number < runs; number += 1) {
    const run = await runSweepSeed(firstSeed + number);
    onRun(run);
    results.push(run);
  }
  return results;
}

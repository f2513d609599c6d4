/** Replays a trace through the real code under the manual clock. */
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { CompletedSubmission } from '../load/run-load.js';
import { driveTrace } from './drive-trace.js';
import { evaluateTrace, type UnmetExpectation } from './evaluate-trace.js';
import { startSimulatedSystem } from './simulated-system.js';
import type { TraceSystem } from './trace-system.js';
import type { Trace } from './trace-format.js';

/** Result of a replay. */
export interface ReplayedTrace {
  readonly submissions: readonly CompletedSubmission[];
  readonly unmet: readonly UnmetExpectation[];
}

const stepMilliseconds: Milliseconds = 500;
const maximumReplayMilliseconds: Milliseconds = 120_000;

/** Thrown when a trace still lacks a reply after the maximum simulated time. */
export class UnendedTraceError extends Error {
  constructor(trace: string) {
    super(
      `Trace ${trace} did not end within ${String(maximumReplayMilliseconds)} ms of simulated time.`,
    );
    this.name = 'UnendedTraceError';
  }
}

/** Replays a trace and evaluates its expectations. */
export async function replayTrace(trace: Trace): Promise<ReplayedTrace> {
  return simulateTrace(trace, (submissions, system) => ({
    submissions,
    unmet: evaluateTrace(trace.expectations, submissions, system),
  }));
}

/** Runs the events of a trace under the manual clock and calls `evaluate` before the system stops. */
export async function simulateTrace<Evaluation>(
  trace: Pick<Trace, 'header' | 'events'>,
  evaluate: (
    submissions: readonly CompletedSubmission[],
    system: TraceSystem,
  ) => Evaluation,
): Promise<Evaluation> {
  const timers = createManualTimerService();
  const system = await startSimulatedSystem(trace.header, timers);
  try {
    return evaluate(await driveToEnd(trace, system, timers), system);
  } finally {
    const stopping = system.stop();
    await timers.advance(stepMilliseconds);
    await stopping;
  }
}

/** Advances the clock until every submission has a reply. */
async function driveToEnd(
  trace: Pick<Trace, 'header' | 'events'>,
  system: TraceSystem,
  timers: ManualTimerService,
): Promise<readonly CompletedSubmission[]> {
  const driven: { submissions?: readonly CompletedSubmission[] } = {};
  void driveTrace(trace, system, timers).then(submissions => {
    driven.submissions = submissions;
  });
  const limit = timers.now() + maximumReplayMilliseconds;
  while (driven.submissions === undefined) {
    if (timers.now() > limit) throw new UnendedTraceError(trace.header.name);
    await timers.advance(stepMilliseconds);
  }
  return driven.submissions;
}

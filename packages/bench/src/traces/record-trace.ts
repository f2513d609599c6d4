/** Records traces from the real roles over loopback. */
import type { TimerService } from '@cranberryturn/timers';

import { readCommit } from '../results/read-commit.js';
import { startLoopbackSystem } from './loopback-system.js';
import { driveTrace } from './drive-trace.js';
import { evaluateTrace, type UnmetExpectation } from './evaluate-trace.js';
import { type Trace, type TraceHeader, TraceLineKind } from './trace-format.js';
import type { TraceScript } from './trace-scripts.js';
import { traceDispatcherCount, traceShape } from './trace-shape.js';

/** A recorded trace, and the expectations that the recording did not meet. */
export interface RecordedTrace {
  readonly trace: Trace;
  readonly unmet: readonly UnmetExpectation[];
}

/** Runs a script on the loopback system and records how each submission ended. */
export async function recordTrace(
  script: TraceScript,
  seed: number,
  timers: TimerService,
): Promise<RecordedTrace> {
  const header: TraceHeader = {
    kind: TraceLineKind.Header,
    name: script.name,
    description: script.description,
    seed,
    commit: await readCommit(process.cwd()),
    workers: traceShape.workers,
    slots: traceShape.slotsPerWorker,
    dispatchers: traceDispatcherCount,
  };
  const events = [...script.events].sort((left, right) => left.at - right.at);
  const system = await startLoopbackSystem(header, timers);
  const submissions = await driveTrace({ events }, system, timers);
  const unmet = evaluateTrace(script.expectations, submissions, system);
  await system.stop();
  const observed = submissions.map(({ job, reply, responseMilliseconds }) => ({
    kind: TraceLineKind.Observed as const,
    jobId: job.jobId,
    outcome: reply.outcome,
    started: reply.started,
    responseMilliseconds: Math.round(responseMilliseconds),
  }));
  const { expectations } = script;
  return { trace: { header, events, observed, expectations }, unmet };
}

/** The loads and faults that traces are made of. */
import type { Milliseconds } from '@cranberryturn/types';

import {
  type Burst,
  type LoadOptions,
  planLoad,
  type PlannedJob,
} from '../load/plan-load.js';
import {
  type TraceEvent,
  type TraceFault,
  TraceLineKind,
} from './trace-format.js';
import { traceDispatchers, traceShape } from './trace-shape.js';

const seed = 41;
const durationMilliseconds: Milliseconds = 5_000;
/** When the fault of a trace happens. */
export const faultAt: Milliseconds = 1_500;
/** Time that callers allow. */
export const deadlineMilliseconds: Milliseconds = 8_000;

/** The submissions of a load. */
export function load(
  options: Partial<LoadOptions> = {},
): readonly TraceEvent[] {
  return submitAll(plan(options));
}

/** The jobs of a load. */
export function plan(options: Partial<LoadOptions>): readonly PlannedJob[] {
  return planLoad({
    shape: traceShape,
    seed,
    durationMilliseconds,
    loadFraction: 0.5,
    deadlineMilliseconds,
    ...options,
  }).jobs;
}

/** Submits jobs to the dispatchers in turn. */
export function submitAll(jobs: readonly PlannedJob[]): readonly TraceEvent[] {
  return jobs.map((job, position) => submit(job, position % traceDispatchers));
}

/** Submits one job to one dispatcher. */
export function submit(job: PlannedJob, dispatcher: number): TraceEvent {
  return { kind: TraceLineKind.Submission, at: job.at, dispatcher, job };
}

/** A fault at the usual time. */
export function fault(what: TraceFault): TraceEvent {
  return { kind: TraceLineKind.Fault, at: faultAt, fault: what };
}

/** A burst of ten times the load at the usual time. */
export function burst(): Burst {
  return { at: faultAt, durationMilliseconds: 300, factor: 10 };
}

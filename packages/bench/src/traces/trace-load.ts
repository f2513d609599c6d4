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
import { traceDispatcherCount, traceShape } from './trace-shape.js';

const seed = 41;
const durationMilliseconds: Milliseconds = 5_000;
/** When the fault of a trace happens. */
export const faultAtMilliseconds: Milliseconds = 1_500;
/** Time that callers allow. */
export const deadlineMilliseconds: Milliseconds = 8_000;

/** The submissions of a load. */
export function planLoadEvents(
  options: Partial<LoadOptions> = {},
): readonly TraceEvent[] {
  return createSubmissions(planJobs(options));
}

/** The jobs of a load. */
export function planJobs(options: Partial<LoadOptions>): readonly PlannedJob[] {
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
export function createSubmissions(
  jobs: readonly PlannedJob[],
): readonly TraceEvent[] {
  return jobs.map((job, position) =>
    createSubmission(job, position % traceDispatcherCount),
  );
}

/** Submits one job to one dispatcher. */
export function createSubmission(
  job: PlannedJob,
  dispatcher: number,
): TraceEvent {
  return { kind: TraceLineKind.Submission, at: job.at, dispatcher, job };
}

/** A fault at the usual time. */
export function createFault(what: TraceFault): TraceEvent {
  return { kind: TraceLineKind.Fault, at: faultAtMilliseconds, fault: what };
}

/** A burst of ten times the load at the usual time. */
export function createBurst(): Burst {
  return { at: faultAtMilliseconds, durationMilliseconds: 300, factor: 10 };
}

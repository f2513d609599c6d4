/** Builds the loads and faults of trace scripts. */
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
/** Time of the fault in each script, from the start of the trace. */
export const faultAtMilliseconds: Milliseconds = 1_500;
/** Deadline of every job. */
export const deadlineMilliseconds: Milliseconds = 8_000;

/** Plans a load and returns its submissions. */
export function planLoadEvents(
  options: Partial<LoadOptions> = {},
): readonly TraceEvent[] {
  return createSubmissions(planJobs(options));
}

/** Plans the jobs of a load at half of the slots, unless `options` differ. */
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

/** Creates submissions that go to the dispatchers in turn. */
export function createSubmissions(
  jobs: readonly PlannedJob[],
): readonly TraceEvent[] {
  return jobs.map((job, position) =>
    createSubmission(job, position % traceDispatcherCount),
  );
}

/** Creates the submission of one job to one dispatcher. */
export function createSubmission(
  job: PlannedJob,
  dispatcher: number,
): TraceEvent {
  return { kind: TraceLineKind.Submission, at: job.at, dispatcher, job };
}

/** Creates a fault event at `faultAtMilliseconds`. */
export function createFault(traceFault: TraceFault): TraceEvent {
  return {
    kind: TraceLineKind.Fault,
    at: faultAtMilliseconds,
    fault: traceFault,
  };
}

/** Creates a burst of ten times the load at `faultAtMilliseconds`. */
export function createBurst(): Burst {
  return { at: faultAtMilliseconds, durationMilliseconds: 300, factor: 10 };
}

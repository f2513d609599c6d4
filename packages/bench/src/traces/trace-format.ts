/** Format of trace files: the events applied to a system, one per line, and the expected results. */
import { TargetFaultKind } from '@cranberryturn/stand-ins';
import { Started } from '@cranberryturn/types';
import * as z from 'zod';

import { SubmissionOutcome } from '../load/job-client.js';

export enum TraceLineKind {
  Header = 'header',
  Submission = 'submission',
  Cancellation = 'cancellation',
  Fault = 'fault',
  /** How a submission ended when the trace was recorded; for comparison, not checked. */
  Observed = 'observed',
  /** An expectation, derived from the guarantees and the stated targets. */
  Expected = 'expected',
}

export enum TraceFaultKind {
  WorkerDies = 'worker-dies',
  TargetFault = 'target-fault',
  /** All open connections of a worker become silent permanently; new ones work. */
  ConnectionsSilent = 'connections-silent',
  DispatcherDies = 'dispatcher-dies',
  /** Planned stop of a worker. */
  WorkerLeaves = 'worker-leaves',
  /** A worker dies and a new run starts. */
  WorkerRestarts = 'worker-restarts',
  /** The sidecar dies and a new run replaces it; the target keeps running. */
  SidecarRestarts = 'sidecar-restarts',
  /** A dispatcher dies and a new run starts on the same address. */
  DispatcherRestarts = 'dispatcher-restarts',
  /** Planned stop of a dispatcher. */
  DispatcherLeaves = 'dispatcher-leaves',
  /** Two processes are partitioned for a time; connections opened before it stay silent. */
  ProcessesCutOff = 'processes-cut-off',
}

export enum ExpectationKind {
  NoViolations = 'no-violations',
  /** Each submission was answered within its deadline plus a grace time. */
  EveryJobEnds = 'every-job-ends',
  CompleteShare = 'complete-share',
  JobEnds = 'job-ends',
  StartsOnWorker = 'starts-on-worker',
  ResponseOverIdeal = 'response-over-ideal',
}

const targetFaultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(TargetFaultKind.None) }),
  z.object({ kind: z.literal(TargetFaultKind.FailAll) }),
  z.object({ kind: z.literal(TargetFaultKind.Slow), factor: z.number() }),
  z.object({ kind: z.literal(TargetFaultKind.Hang) }),
  z.object({
    kind: z.literal(TargetFaultKind.Flap),
    periodMilliseconds: z.number(),
  }),
  z.object({ kind: z.literal(TargetFaultKind.DropConnection) }),
]);

const faultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(TraceFaultKind.WorkerDies), worker: z.int() }),
  z.object({
    kind: z.literal(TraceFaultKind.TargetFault),
    worker: z.int(),
    fault: targetFaultSchema,
  }),
  z.object({
    kind: z.literal(TraceFaultKind.ConnectionsSilent),
    worker: z.int(),
  }),
  z.object({
    kind: z.literal(TraceFaultKind.DispatcherDies),
    dispatcher: z.int(),
  }),
  z.object({ kind: z.literal(TraceFaultKind.WorkerLeaves), worker: z.int() }),
  z.object({ kind: z.literal(TraceFaultKind.WorkerRestarts), worker: z.int() }),
  z.object({
    kind: z.literal(TraceFaultKind.SidecarRestarts),
    worker: z.int(),
  }),
  z.object({
    kind: z.literal(TraceFaultKind.DispatcherRestarts),
    dispatcher: z.int(),
  }),
  z.object({
    kind: z.literal(TraceFaultKind.DispatcherLeaves),
    dispatcher: z.int(),
  }),
  z.object({
    kind: z.literal(TraceFaultKind.ProcessesCutOff),
    first: z.string(),
    second: z.string(),
    durationMilliseconds: z.number(),
  }),
]);

const declaredSchema = z.object({
  processors: z.number().optional(),
  memoryMebibytes: z.number().optional(),
  accelerators: z.number().optional(),
  runMilliseconds: z.number().optional(),
});

const jobSchema = z.object({
  at: z.number(),
  jobId: z.string(),
  request: z.string(),
  service: z.string(),
  team: z.string(),
  idempotent: z.boolean(),
  deadlineMilliseconds: z.number(),
  tasks: z
    .array(
      z.object({
        taskId: z.string(),
        runMilliseconds: z.number(),
        answerBytes: z.number(),
        declared: declaredSchema.optional(),
      }),
    )
    .readonly(),
});

const expectationSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(ExpectationKind.NoViolations) }),
  z.object({
    kind: z.literal(ExpectationKind.EveryJobEnds),
    graceMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal(ExpectationKind.CompleteShare),
    /** Counts only jobs submitted from this time on. */
    from: z.number(),
    atLeast: z.number(),
  }),
  z.object({
    kind: z.literal(ExpectationKind.JobEnds),
    jobId: z.string(),
    outcomes: z.array(z.enum(SubmissionOutcome)),
    started: z.array(z.enum(Started)).optional(),
  }),
  z.object({
    kind: z.literal(ExpectationKind.StartsOnWorker),
    worker: z.int(),
    /** Counts only starts from this time on. */
    from: z.number(),
    atMost: z.number(),
  }),
  z.object({
    kind: z.literal(ExpectationKind.ResponseOverIdeal),
    percentile: z.number(),
    atMost: z.number(),
  }),
]);

const lineSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(TraceLineKind.Header),
    name: z.string(),
    description: z.string(),
    seed: z.int(),
    commit: z.string(),
    workers: z.int(),
    slots: z.int(),
    dispatchers: z.int(),
  }),
  z.object({
    kind: z.literal(TraceLineKind.Submission),
    at: z.number(),
    dispatcher: z.int(),
    job: jobSchema,
  }),
  z.object({
    kind: z.literal(TraceLineKind.Cancellation),
    at: z.number(),
    dispatcher: z.int(),
    jobId: z.string(),
  }),
  z.object({
    kind: z.literal(TraceLineKind.Fault),
    at: z.number(),
    fault: faultSchema,
  }),
  z.object({
    kind: z.literal(TraceLineKind.Observed),
    jobId: z.string(),
    outcome: z.enum(SubmissionOutcome),
    started: z.enum(Started).optional(),
    responseMilliseconds: z.number(),
  }),
  z.object({
    kind: z.literal(TraceLineKind.Expected),
    expectation: expectationSchema,
  }),
]);

/** One line of a trace. */
export type TraceLine = z.output<typeof lineSchema>;
/** A fault that a trace applies. */
export type TraceFault = z.output<typeof faultSchema>;
/** A result that a trace must have. */
export type Expectation = z.output<typeof expectationSchema>;
/** The first line of a trace. */
export type TraceHeader = Extract<TraceLine, { kind: TraceLineKind.Header }>;
/** A line that is applied to the system at its time. */
export type TraceEvent = Extract<TraceLine, { at: number }>;
/** How a submission ended when the trace was recorded. */
export type ObservedLine = Extract<TraceLine, { kind: TraceLineKind.Observed }>;

/** A parsed trace. */
export interface Trace {
  readonly header: TraceHeader;
  /** Sorted by time. */
  readonly events: readonly TraceEvent[];
  readonly observed: readonly ObservedLine[];
  readonly expectations: readonly Expectation[];
}

/** Parses one line; undefined when the text is not a valid trace line. */
export function parseTraceLine(text: string): TraceLine | undefined {
  try {
    return lineSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}

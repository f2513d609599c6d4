/** The system that a trace runs on: real roles over loopback, or the same code under the manual clock. */
import type { StartCount } from '@cranberryturn/stand-ins';
import type { DecisionRecord, Milliseconds } from '@cranberryturn/types';

import type { SubmissionReply } from '../load/job-client.js';
import type { PlannedJob } from '../load/plan-load.js';
import type { TraceFault } from './trace-format.js';

/** A system that a trace runs on. Dispatchers and workers are given by position. */
export interface TraceSystem {
  submitJob(dispatcher: number, job: PlannedJob): Promise<SubmissionReply>;
  cancelJob(dispatcher: number, job: PlannedJob): Promise<void>;
  applyFault(fault: TraceFault): Promise<void>;
  /** Returns the identifier of the target of a worker. */
  targetOf(worker: number): string;
  readonly records: readonly DecisionRecord[];
  startCounts(): readonly StartCount[];
  /** Wall-clock time at which the trace started. */
  readonly startedAt: Milliseconds;
  stop(): Promise<void>;
}

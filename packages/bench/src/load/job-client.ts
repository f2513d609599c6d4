/** The callers' side of a dispatcher. */
import type { JobOutcome, Started } from '@cranberryturn/types';

import type { ObservedAnswer } from '../checker/violation.js';
import type { PlannedJob } from './plan-load.js';

/** How a submission ended for the caller. */
export enum SubmissionOutcome {
  Complete = 'complete',
  Failed = 'failed',
  /** Refused before anything was started. */
  Refused = 'refused',
  /** The connection failed, or the reply cannot be understood. */
  Broken = 'broken',
}

/** A reply to a submission. */
export interface SubmissionReply {
  readonly outcome: SubmissionOutcome;
  readonly status: number;
  /** Outcome named in the body of the reply. */
  readonly jobOutcome?: JobOutcome | undefined;
  readonly started?: Started | undefined;
  readonly reason?: string | undefined;
  readonly answers: readonly ObservedAnswer[];
}

/** Submits jobs as a caller does. Never rejects. */
export interface JobClient {
  submitJob(job: PlannedJob): Promise<SubmissionReply>;
  cancelJob(job: PlannedJob): Promise<void>;
  close(): Promise<void>;
}

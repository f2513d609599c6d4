/** Interface through which callers submit jobs. */
import type { JobOutcome, Started } from '@cranberryturn/types';

import type { ObservedAnswer } from '../checker/violation.js';
import type { PlannedJob } from './plan-load.js';

/** How a submission ended for the caller. */
export enum SubmissionOutcome {
  Complete = 'complete',
  Failed = 'failed',
  /** Refused before anything was started. */
  Refused = 'refused',
  /** The connection failed, or the reply cannot be parsed. */
  Broken = 'broken',
}

/** A reply to a submission. */
export interface SubmissionReply {
  readonly outcome: SubmissionOutcome;
  /** HTTP status; 0 when no reply arrived. */
  readonly status: number;
  /** Outcome named in the body of the reply. */
  readonly jobOutcome?: JobOutcome | undefined;
  readonly started?: Started | undefined;
  readonly reason?: string | undefined;
  readonly answers: readonly ObservedAnswer[];
}

/** Submits jobs as a caller does. `submitJob` and `cancelJob` never reject. */
export interface JobClient {
  submitJob(job: PlannedJob): Promise<SubmissionReply>;
  cancelJob(job: PlannedJob): Promise<void>;
  close(): Promise<void>;
}

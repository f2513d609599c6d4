/** Composes submissions and results from what the other parts say. */
import {
  type JobOwnership,
  type JobRefusal,
  RefusalKind,
} from '@cranberryturn/scheduling';
import {
  type ClaimGranted,
  type JobId,
  JobOutcome,
  type JobResult,
  Started,
} from '@cranberryturn/types';

import {
  type Submission,
  SubmissionKind,
  SubmissionRefusal,
} from './submission.js';

/** What the scheduler may do under a grant. */
export function describeOwnership(grant: ClaimGranted): JobOwnership {
  return { epoch: grant.epoch, registeredUpTo: grant.rosterVersion };
}

/** Composes the submission of a job that has a result. */
export function describeResult(result: JobResult): Submission {
  return { kind: SubmissionKind.Result, result };
}

/** Composes the result of a job of which nothing was started. */
export function describeNotRun(jobId: JobId, reason: string): JobResult {
  return {
    jobId,
    outcome: JobOutcome.Failed,
    reason,
    started: Started.No,
    deadlinePassed: false,
  };
}

/** Composes the refusal of a job whose earlier claim may have been forgotten. */
export function describeTooOld(reason: string): Submission {
  return {
    kind: SubmissionKind.Refused,
    refusal: SubmissionRefusal.TooOld,
    reason: `The claim was refused: ${reason}.`,
    retryAfterMilliseconds: undefined,
  };
}

/** Composes the submission that the scheduler refused. */
export function describeRefusal(refusal: JobRefusal): Submission {
  return {
    kind: SubmissionKind.Refused,
    refusal: chooseRefusal(refusal.kind),
    reason: refusal.reason,
    retryAfterMilliseconds: refusal.retryAfterMilliseconds,
  };
}

function chooseRefusal(kind: RefusalKind): SubmissionRefusal {
  switch (kind) {
    case RefusalKind.QuotaExceeded:
      return SubmissionRefusal.QuotaExceeded;
    case RefusalKind.Impossible:
      return SubmissionRefusal.Impossible;
    case RefusalKind.Overloaded:
    case RefusalKind.DeadlineTooClose:
    case RefusalKind.NoTarget:
      return SubmissionRefusal.Unavailable;
  }
}

/** Composes the result of a job that may have been started elsewhere. */
export function describePerhaps(jobId: JobId, reason: string): JobResult {
  return {
    jobId,
    outcome: JobOutcome.Failed,
    reason,
    started: Started.Perhaps,
    deadlinePassed: false,
  };
}

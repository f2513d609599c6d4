/** Composes submissions and results from what the other parts say. */
import {
  type JobOwnership,
  type JobRefusal,
  RefusalKind,
} from '@cranberryturn/scheduling';
import {
  type ClaimGranted,
  ClaimRefusal,
  type JobId,
  JobOutcome,
  type JobResult,
  type Milliseconds,
  Started,
} from '@cranberryturn/types';

import {
  refuseTemporarily,
  type SubmissionResult,
  SubmissionResultKind,
  SubmissionRefusal,
} from './submission-result.js';

/** The table empties as fast as jobs were answered ten minutes ago. */
const fullTableRetryAfterMilliseconds: Milliseconds = 10_000;

/** What the scheduler may do under a grant. */
export function composeOwnership(grant: ClaimGranted): JobOwnership {
  return { epoch: grant.epoch, registeredUpTo: grant.rosterVersion };
}

/** Composes the submission of a job that has a result. */
export function composeSubmissionResult(result: JobResult): SubmissionResult {
  return { kind: SubmissionResultKind.Result, result };
}

/** Composes the result of a job of which nothing was started. */
export function composeNotStartedResult(
  jobId: JobId,
  reason: string,
): JobResult {
  return {
    jobId,
    outcome: JobOutcome.Failed,
    reason,
    started: Started.No,
    deadlinePassed: false,
  };
}

/** Composes the submission whose claim control refused; nothing was started. */
export function refuseClaim(reason: ClaimRefusal): SubmissionResult {
  switch (reason) {
    case ClaimRefusal.TableFull:
      return refuseTemporarily(
        'Control holds as many claims as it may. Submit the job again later.',
        fullTableRetryAfterMilliseconds,
      );
    case ClaimRefusal.TooOld:
      return {
        kind: SubmissionResultKind.Refused,
        refusal: SubmissionRefusal.TooOld,
        reason: `The claim was refused: ${reason}.`,
        retryAfterMilliseconds: undefined,
      };
  }
}

/** Composes the submission that the scheduler refused. */
export function refuseAdmission(refusal: JobRefusal): SubmissionResult {
  return {
    kind: SubmissionResultKind.Refused,
    refusal: chooseSubmissionRefusal(refusal.kind),
    reason: refusal.reason,
    retryAfterMilliseconds: refusal.retryAfterMilliseconds,
  };
}

function chooseSubmissionRefusal(kind: RefusalKind): SubmissionRefusal {
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
export function composeUncertainResult(
  jobId: JobId,
  reason: string,
): JobResult {
  return {
    jobId,
    outcome: JobOutcome.Failed,
    reason,
    started: Started.Perhaps,
    deadlinePassed: false,
  };
}

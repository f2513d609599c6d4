/** Composes submission results, job results and refusals from the outcomes of claims and admission. */
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

/** The claim table drains at the rate at which jobs were answered ten minutes earlier, when its claims expire. */
const fullTableRetryAfterMilliseconds: Milliseconds = 10_000;

/** Converts a grant into the ownership under which the scheduler may start tasks. */
export function composeOwnership(grant: ClaimGranted): JobOwnership {
  return { epoch: grant.epoch, registeredUpTo: grant.rosterVersion };
}

/** Composes the submission result of a job that has a result. */
export function composeSubmissionResult(result: JobResult): SubmissionResult {
  return { kind: SubmissionResultKind.Result, result };
}

/** Composes the result of a job of which no task was started. */
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

/** Refuses a submission whose claim control refused; nothing was started. */
export function refuseClaim(reason: ClaimRefusal): SubmissionResult {
  switch (reason) {
    case ClaimRefusal.TableFull:
      return refuseTemporarily(
        'The claim table of control is full; submit the job again later.',
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

/** Refuses a submission that the scheduler did not admit. */
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

/** Composes the result of a job that another dispatcher may have started. */
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

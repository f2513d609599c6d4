/** Checks of the messages of the sessions between dispatchers. */
import {
  isCount,
  isOneOf,
  isRecord,
  isText,
  isVariant,
  type ShapeCheck,
} from '../shapes.js';
import {
  isFromCoordinatorMessage,
  isToCoordinatorMessage,
} from './capacity-message-checks.js';
import { JobCancelKind, JobFinding } from './job-cancel-messages.js';

/** Whether a decoded value is a `DispatcherRequest`, perhaps of a later version. */
export const isDispatcherRequest: ShapeCheck = isVariant(
  'kind',
  {
    [JobCancelKind.Request]: isRecord({ cancel: isCount, jobId: isText }),
  },
  isToCoordinatorMessage,
);

/** Whether a decoded value is a `DispatcherAnswer`, perhaps of a later version. */
export const isDispatcherAnswer: ShapeCheck = isVariant(
  'kind',
  {
    [JobCancelKind.Answer]: isRecord({
      cancel: isCount,
      finding: isOneOf(JobFinding),
    }),
  },
  isFromCoordinatorMessage,
);

/** Checks of the messages between dispatchers about the capacity of workers. */
import {
  isAmount,
  isCount,
  isFiniteNumber,
  isIgnored,
  isListOf,
  isOptional,
  isRecord,
  isText,
  isVariant,
  type ShapeCheck,
} from '../shapes.js';
import { FromCoordinatorKind, ToCoordinatorKind } from './capacity-messages.js';
import { isWorkerResources } from './common-checks.js';

const isTextList = isListOf(isText);
const isCountList = isListOf(isCount);

const isCapacityRequest = isRecord({
  request: isCount,
  jobId: isText,
  requestId: isText,
  service: isText,
  queue: isText,
  dataCentre: isText,
  tasks: isCount,
  need: isWorkerResources,
  dataLabel: isOptional(isText),
  priority: isCount,
  estimatedMilliseconds: isAmount,
  dueMilliseconds: isFiniteNumber,
  maximumWaitMilliseconds: isOptional(isFiniteNumber),
  usefulMilliseconds: isOptional(isFiniteNumber),
  excludedWorkers: isTextList,
  hosts: isOptional(
    isRecord({
      confinedTo: isOptional(isTextList),
      avoided: isTextList,
      excluded: isTextList,
    }),
  ),
});

const isCapacityGrant = isRecord({
  grant: isCount,
  workerId: isText,
  tasks: isCount,
});

/** Whether a decoded value is a `ToCoordinatorMessage`, perhaps of a later version. */
export const isToCoordinatorMessage: ShapeCheck = isVariant(
  'kind',
  {
    [ToCoordinatorKind.Request]: isRecord({ request: isCapacityRequest }),
    [ToCoordinatorKind.Withdraw]: isRecord({ requests: isCountList }),
    [ToCoordinatorKind.ReturnGrants]: isRecord({ grants: isCountList }),
  },
  isIgnored,
);

const isFromCoordinatorHeader = isRecord({
  capacity: isRecord({
    freeProcessors: isFiniteNumber,
    waitMilliseconds: isAmount,
  }),
});
const isFromCoordinatorBody = isVariant(
  'kind',
  {
    [FromCoordinatorKind.Grants]: isRecord({
      request: isCount,
      grants: isListOf(isCapacityGrant),
    }),
    [FromCoordinatorKind.Refusal]: isRecord({
      request: isCount,
      waitMilliseconds: isAmount,
    }),
    [FromCoordinatorKind.Returned]: isRecord({ request: isCount }),
    [FromCoordinatorKind.Expired]: isRecord({ request: isCount }),
    [FromCoordinatorKind.Standing]: isRecord({ requests: isCountList }),
  },
  isIgnored,
);

/** Whether a decoded value is a `FromCoordinatorMessage`, perhaps of a later version. */
export const isFromCoordinatorMessage: ShapeCheck = value =>
  isFromCoordinatorHeader(value) && isFromCoordinatorBody(value);

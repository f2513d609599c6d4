/** Checks of the messages about runs between dispatchers and sidecars. */
import { RunOutcome } from '@cranberryturn/types';

import {
  isAmount,
  isCount,
  isFiniteNumber,
  isFlag,
  isIgnored,
  isListOf,
  isOneOf,
  isOptional,
  isRecord,
  isText,
  isVariant,
  type ShapeCheck,
} from '../shapes.js';
import {
  isDispatcherAddress,
  isEvacuationState,
  isWorkerResources,
} from './common-checks.js';
import { FromWorkerKind, ToWorkerKind } from './run-messages.js';

const runKey = { jobId: isText, taskId: isText, run: isCount };
const isTaskSelection = isRecord({ jobId: isText, taskIds: isListOf(isText) });

const isRunOrder = isRecord({
  jobId: isText,
  requestId: isText,
  dispatcher: isText,
  service: isText,
  queue: isOptional(isText),
  specification: isText,
  need: isWorkerResources,
  priority: isCount,
  estimatedMilliseconds: isFiniteNumber,
  dueMilliseconds: isFiniteNumber,
  remainingMilliseconds: isFiniteNumber,
  mayWait: isFlag,
  runsAlone: isOptional(isFlag),
  grant: isOptional(isRecord({ coordinator: isText, grant: isCount })),
  tasks: isListOf(isRecord({ taskId: isText, run: isCount })),
});

const isRunEnd = isRecord({
  ...runKey,
  requestId: isText,
  outcome: isOneOf(RunOutcome),
  // A later version may name other reasons; a lost end would be worse than an unknown reason.
  reason: isOptional(isText),
  waitedMilliseconds: isFiniteNumber,
  runMilliseconds: isFiniteNumber,
});

const isWorkerRun = isRecord({
  workerId: isText,
  incarnation: isText,
  service: isText,
  capacity: isWorkerResources,
  largestCapacity: isOptional(isWorkerResources),
  labels: isListOf(isText),
  dataCentre: isText,
});

const isWorkerLoad = isRecord({
  free: isWorkerResources,
  waitingWork: isListOf(isFiniteNumber),
  startedWork: isOptional(isListOf(isAmount)),
  runningWork: isFiniteNumber,
  closed: isFlag,
});

const isWorkerCrash = isRecord({
  workerId: isText,
  incarnation: isText,
  service: isText,
  ageMilliseconds: isAmount,
  runs: isListOf(
    isRecord({ jobId: isText, taskId: isText, queue: isOptional(isText) }),
  ),
  presence: isListOf(isRecord({ queue: isText, share: isAmount })),
});

const isToWorkerHeader = isRecord({ echo: isFiniteNumber });
const isToWorkerBody = isVariant(
  'kind',
  {
    [ToWorkerKind.PlaceRuns]: isRecord({ order: isRunOrder }),
    [ToWorkerKind.StopRuns]: isTaskSelection,
    [ToWorkerKind.ReturnRuns]: isTaskSelection,
    [ToWorkerKind.KnownDispatchers]: isRecord({
      version: isOptional(isCount),
      dispatchers: isListOf(isDispatcherAddress),
    }),
    [ToWorkerKind.Evacuations]: isRecord({
      state: isEvacuationState,
      isProved: isFlag,
    }),
  },
  isIgnored,
);

const isFromWorkerHeader = isRecord({
  stamp: isFiniteNumber,
  load: isWorkerLoad,
  orders: isCount,
  dispatcherListVersion: isOptional(isCount),
  evacuationVersion: isOptional(isCount),
  grants: isOptional(isListOf(isCount)),
});
const isFromWorkerBody = isVariant(
  'kind',
  {
    [FromWorkerKind.Announce]: isRecord({ worker: isOptional(isWorkerRun) }),
    [FromWorkerKind.RunsEnded]: isRecord({ ends: isListOf(isRunEnd) }),
    [FromWorkerKind.StalledRuns]: isRecord({
      runs: isListOf(
        isRecord({ ...runKey, stillMilliseconds: isFiniteNumber }),
      ),
    }),
    [FromWorkerKind.WorkerCrashes]: isRecord({
      crashes: isListOf(isWorkerCrash),
    }),
    [FromWorkerKind.Coordination]: isRecord({
      coordinator: isOptional(isText),
      dispatchers: isListOf(isText),
    }),
  },
  isIgnored,
);

/** Whether a decoded value is a `ToWorkerMessage`, perhaps of a later version. */
export const isToWorkerMessage: ShapeCheck = value =>
  isToWorkerHeader(value) && isToWorkerBody(value);

/** Whether a decoded value is a `FromWorkerMessage`, perhaps of a later version. */
export const isFromWorkerMessage: ShapeCheck = value =>
  isFromWorkerHeader(value) && isFromWorkerBody(value);

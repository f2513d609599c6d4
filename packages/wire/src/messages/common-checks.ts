/** Checks of types that several protocols share. */
import {
  isAmount,
  isCount,
  isFiniteNumber,
  isFlag,
  isListOf,
  isOptional,
  isRecord,
  isText,
} from '../shapes.js';

/** A network address. */
export const isNetworkAddress = isRecord({ address: isText, port: isCount });

/** One run of a dispatcher. */
export const isDispatcherIdentity = isRecord({
  dispatcherId: isText,
  incarnation: isText,
});

/** One run of a target. */
export const isTargetIdentity = isRecord({
  targetId: isText,
  incarnation: isText,
});

/** A dispatcher and the address at which it accepts sidecars. */
export const isDispatcherAddress = isRecord({
  dispatcherId: isText,
  address: isNetworkAddress,
  processors: isOptional(isAmount),
});

/** Resources of a worker, or their free part, which is negative after an overcommitment. */
export const isWorkerResources = isRecord({
  processors: isFiniteNumber,
  memoryMebibytes: isFiniteNumber,
  accelerators: isFiniteNumber,
});

/** The announcement of a target. */
export const isTargetAnnouncement = isRecord({
  targetId: isText,
  incarnation: isText,
  service: isText,
  host: isText,
  rack: isText,
  dataCentre: isText,
  resources: isWorkerResources,
  slots: isAmount,
  connections: isAmount,
});

/** A state of evacuations. */
export const isEvacuationState = isRecord({
  version: isCount,
  evacuations: isListOf(
    isRecord({ dataCentre: isText, since: isFiniteNumber }),
  ),
});

/** The load of a target. */
export const isTargetLoad = isRecord({
  freeSlots: isFiniteNumber,
  queuedTasks: isFiniteNumber,
  draining: isFlag,
  usage: isOptional(
    isRecord({
      ageMilliseconds: isFiniteNumber,
      processors: isFiniteNumber,
      memoryMebibytes: isFiniteNumber,
      accelerators: isFiniteNumber,
    }),
  ),
});

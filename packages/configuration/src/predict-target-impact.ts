/** Predicts the impact of a change on the targets announced at present. */
import {
  type ClusterConfiguration,
  type ServiceName,
  type TargetAnnouncement,
  type TargetId,
  WorkerState,
} from '@cranberryturn/types';

import { canReceiveWork } from './list-effects.js';

/** Announced capacity of one service before and after a change. */
export interface ServiceCapacity {
  readonly service: ServiceName;
  readonly workersBefore: number;
  readonly workersAfter: number;
  readonly slotsBefore: number;
  readonly slotsAfter: number;
}

/**
 * Impact of a change on the announced targets. It depends on the time of
 * planning and is therefore not part of a plan's digest.
 */
export interface TargetImpact {
  /** Targets that stop or resume receiving work. */
  readonly stops: readonly TargetId[];
  readonly resumes: readonly TargetId[];
  /** Services whose capacity changes. */
  readonly capacity: readonly ServiceCapacity[];
}

/** Compares the announced targets under both configurations. */
export function predictTargetImpact(
  before: ClusterConfiguration,
  after: ClusterConfiguration,
  targets: readonly TargetAnnouncement[],
): TargetImpact {
  const targetSlots = targets.map(target => ({
    target,
    before: countSlots(before, target),
    after: countSlots(after, target),
  }));
  const stops = targetSlots.filter(
    entry => entry.before > 0 && entry.after === 0,
  );
  const resumes = targetSlots.filter(
    entry => entry.before === 0 && entry.after > 0,
  );
  const services = [...new Set(targets.map(target => target.service))].sort();
  const capacity = services.map(service => {
    const serviceTargets = targetSlots.filter(
      entry => entry.target.service === service,
    );
    return {
      service,
      workersBefore: serviceTargets.filter(entry => entry.before > 0).length,
      workersAfter: serviceTargets.filter(entry => entry.after > 0).length,
      slotsBefore: serviceTargets.reduce((sum, entry) => sum + entry.before, 0),
      slotsAfter: serviceTargets.reduce((sum, entry) => sum + entry.after, 0),
    };
  });
  return {
    stops: stops.map(entry => entry.target.targetId),
    resumes: resumes.map(entry => entry.target.targetId),
    capacity: capacity.filter(entry => entry.slotsBefore !== entry.slotsAfter),
  };
}

/** Returns the number of slots that receive work; 0 for a target that is drained or removed. */
function countSlots(
  configuration: ClusterConfiguration,
  target: TargetAnnouncement,
): number {
  const declared = configuration.workers.find(
    worker => worker.targetId === target.targetId,
  );
  const placement = declared ?? { ...target, state: WorkerState.Active };
  if (!canReceiveWork(configuration, placement)) return 0;
  return declared?.slots ?? target.slots;
}

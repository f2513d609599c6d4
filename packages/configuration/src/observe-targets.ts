/** Foresees what a change does to the targets that are announced at the moment. */
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

/** What a change does to the announced targets. It depends on the moment, and so is no part of a plan's digest. */
export interface TargetImpact {
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
  const placed = targets.map(target => ({
    target,
    before: countSlots(before, target),
    after: countSlots(after, target),
  }));
  const stops = placed.filter(entry => entry.before > 0 && entry.after === 0);
  const resumes = placed.filter(entry => entry.before === 0 && entry.after > 0);
  const services = [...new Set(targets.map(target => target.service))].sort();
  const capacity = services.map(service => {
    const own = placed.filter(entry => entry.target.service === service);
    return {
      service,
      workersBefore: own.filter(entry => entry.before > 0).length,
      workersAfter: own.filter(entry => entry.after > 0).length,
      slotsBefore: own.reduce((sum, entry) => sum + entry.before, 0),
      slotsAfter: own.reduce((sum, entry) => sum + entry.after, 0),
    };
  });
  return {
    stops: stops.map(entry => entry.target.targetId),
    resumes: resumes.map(entry => entry.target.targetId),
    capacity: capacity.filter(entry => entry.slotsBefore !== entry.slotsAfter),
  };
}

/** Number of slots that receive work; 0 for a target that is drained or removed. */
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

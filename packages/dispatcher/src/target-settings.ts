/** What the configuration says of one target. */
import {
  type ClusterConfiguration,
  type TargetAnnouncement,
  WorkerState,
} from '@cranberryturn/types';

/** The part of the configuration that concerns one target. */
export interface TargetSettings {
  /** Overrides the announced number of slots. */
  readonly slots: number;
  readonly draining: boolean;
}

/** Finds the part of the configuration that concerns one target. */
export function findTargetSettings(
  configuration: ClusterConfiguration,
  announcement: TargetAnnouncement,
): TargetSettings {
  const worker = configuration.workers.find(
    one => one.targetId === announcement.targetId,
  );
  const isInactive =
    worker !== undefined && worker.state !== WorkerState.Active;
  const draining =
    isInactive ||
    configuration.drainedRacks.includes(announcement.rack) ||
    configuration.drainedDataCentres.includes(announcement.dataCentre);
  return { slots: worker?.slots ?? announcement.slots, draining };
}

/** Selects the settings of one target from the cluster configuration. */
import {
  type ClusterConfiguration,
  type TargetAnnouncement,
  WorkerState,
} from '@cranberryturn/types';

/** Settings of one target. */
export interface TargetSettings {
  /** Overrides the announced number of slots. */
  readonly slots: number;
  readonly draining: boolean;
}

/** Derives the settings of a target from its worker entry, its rack and its data centre. */
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

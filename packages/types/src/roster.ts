/** Roster: the dispatchers and sidecars that are registered with control. */
import type { DispatcherIdentity, TargetIdentity } from './claims.js';
import type { LogIndex, ReplicaId } from './identifiers.js';
import type { NetworkAddress, TargetAnnouncement } from './targets.js';

/** A registered run of a dispatcher. */
export interface DispatcherRecord extends DispatcherIdentity {
  readonly address: NetworkAddress;
  /** Whether this run replaced an earlier run of the same name, whose tasks may still be running. */
  readonly replacesRun?: boolean | undefined;
  /** Processors of its host; undefined when it did not say. */
  readonly processors?: number | undefined;
}

/** A registered run of a sidecar. Dispatchers place tasks on registered runs only. */
export interface TargetRecord extends TargetAnnouncement {
  /** Log index at which this run was registered. */
  readonly registeredAt: LogIndex;
}

/** All registered processes. */
export interface Roster {
  /** Log index of the last change of the roster; 0 before the first change. */
  readonly version: number;
  readonly dispatchers: readonly DispatcherRecord[];
  readonly targets: readonly TargetRecord[];
  readonly leader?: ReplicaId | undefined;
}

/** Changes of the roster since an earlier version. */
export interface RosterChanges {
  readonly baseVersion: number;
  readonly version: number;
  /** All registered dispatchers, not only the changed ones. */
  readonly dispatchers: readonly DispatcherRecord[];
  /** Runs registered since the base version. */
  readonly registered: readonly TargetRecord[];
  /** Runs retired since the base version. */
  readonly retired: readonly TargetIdentity[];
}

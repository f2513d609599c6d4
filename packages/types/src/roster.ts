import type { DispatcherIdentity, TargetIdentity } from './claims.js';
import type { LogIndex, ReplicaId } from './identifiers.js';
import type { NetworkAddress, TargetAnnouncement } from './targets.js';

/** A dispatcher known to control. */
export interface DispatcherRecord extends DispatcherIdentity {
  readonly address: NetworkAddress;
  /** Whether an earlier run of the name was on the roster: its tasks may still run. */
  readonly replacesRun?: boolean | undefined;
}

/** A run of a sidecar known to control. Dispatchers place work only on registered runs. */
export interface TargetRecord extends TargetAnnouncement {
  /** Position in the log at which this run was registered. */
  readonly registeredAt: LogIndex;
}

/** All processes known to control. */
export interface Roster {
  /** Position in the log of the last change of the roster; 0 before the first. */
  readonly version: number;
  readonly dispatchers: readonly DispatcherRecord[];
  readonly targets: readonly TargetRecord[];
  readonly leader?: ReplicaId | undefined;
}

/** What changed in the roster since an earlier version. */
export interface RosterChanges {
  readonly baseVersion: number;
  readonly version: number;
  /** All dispatchers. */
  readonly dispatchers: readonly DispatcherRecord[];
  /** Runs registered since the base version. */
  readonly registered: readonly TargetRecord[];
  /** Runs retired since the base version. */
  readonly retired: readonly TargetIdentity[];
}

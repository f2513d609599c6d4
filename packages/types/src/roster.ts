import type { DispatcherIdentity } from './claims.js';
import type { LogIndex, ReplicaId } from './identifiers.js';
import type { NetworkAddress, TargetAnnouncement } from './targets.js';

/** A dispatcher known to control. */
export interface DispatcherRecord extends DispatcherIdentity {
  readonly address: NetworkAddress;
}

/** A run of a sidecar known to control. Dispatchers place work only on registered runs. */
export interface TargetRecord extends TargetAnnouncement {
  /** Position in the log at which this run was registered. */
  readonly registeredAt: LogIndex;
}

/** All processes known to control. */
export interface Roster {
  /** Raised with each change of the roster. */
  readonly version: number;
  readonly dispatchers: readonly DispatcherRecord[];
  readonly targets: readonly TargetRecord[];
  readonly leader?: ReplicaId | undefined;
}

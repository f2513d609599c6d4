/** The dependencies and the interface of a control replica. */
import type { ConnectionError } from '@cranberryturn/errors';
import type { Logger } from '@cranberryturn/logger';
import type {
  OpenLogError,
  PeerLink,
  ReplicatedLog,
  StateMachine,
} from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';
import type {
  ClusterConfiguration,
  DataCentreName,
  DecisionSink,
  NetworkAddress,
  ReplicaId,
} from '@cranberryturn/types';
import type { Network, PropagationTimes } from '@cranberryturn/wire';
import type { ResultAsync } from 'neverthrow';

import type {
  AdministrationCall,
  AdministrationReply,
} from './administration-calls.js';
import type { OperationProposer } from './batch-operations.js';
import type {
  ControlRetention,
  ControlState,
  EntryOutcome,
} from './control-state.js';
import type { FollowerFeed } from './feed-followers.js';
import type { GroupOptions } from './group-options.js';
import type { InForceTable } from './in-force-table.js';
import type { EvacuationService } from './order-evacuations.js';

/** Opens the log of a replica; the state machine is fed with the committed entries. */
export type LogOpener = (
  stateMachine: StateMachine<EntryOutcome>,
  link: PeerLink,
) => ResultAsync<ReplicatedLog<EntryOutcome>, OpenLogError>;

/** Dependencies of a control replica. */
export interface ControlOptions {
  /** Listen address for other replicas and dispatchers. */
  readonly listen: NetworkAddress;
  /** Joins the network under the replica identifier, which is known only after the log is open. */
  readonly joinNetwork: (self: ReplicaId) => Network;
  readonly timers: TimerService;
  readonly openLog: LogOpener;
  /** Fallback addresses of replicas, used while the member list of the log lacks them. */
  readonly peers: readonly {
    readonly replicaId: ReplicaId;
    readonly address: NetworkAddress;
  }[];
  /** Initial configuration, proposed by the leader while the log holds none. */
  readonly initialConfiguration?: Omit<ClusterConfiguration, 'version'>;
  /**
   * Set when the replicas manage their own membership; otherwise members follow the configured
   * control hosts.
   */
  readonly group?: GroupOptions | undefined;
  /** Data centres that operators may evacuate; evacuations are disabled when absent. */
  readonly dataCentres?: readonly DataCentreName[] | undefined;
  /** Times for following the leader; by default what the default bounds allow. */
  readonly propagation?: PropagationTimes | undefined;
  readonly retention?: Partial<ControlRetention>;
  readonly logger: Logger;
  readonly decisions: DecisionSink;
}

/** A running control replica. */
export interface ControlNode {
  /** Address of the listener for replicas and dispatchers. */
  readonly address: NetworkAddress;
  readonly state: ControlState;
  readonly log: ReplicatedLog<EntryOutcome>;
  readonly proposer: OperationProposer;
  readonly feed: FollowerFeed;
  /** Executes an administration call at the leader, forwarded if necessary. */
  administer(call: AdministrationCall): Promise<AdministrationReply>;
  /** Orders and reads evacuations at the leader; undefined while evacuations are disabled. */
  readonly evacuations: EvacuationService | undefined;
  /** Executes an administration call on this replica; refused when it does not lead. */
  administerLocally(call: AdministrationCall): Promise<AdministrationReply>;
  /**
   * Latest reports of the dispatchers. Complete only at the leader, because dispatchers report to
   * the leader.
   */
  readonly inForce: InForceTable;
  /**
   * Replaces the addresses at which the group is looked for, after a change of the settings. Without
   * effect where members follow the configured control hosts.
   */
  changeSeeds(seeds: readonly NetworkAddress[]): void;
  /** Stops the replica. A leader first transfers its leadership. */
  stop(): Promise<void>;
}

/** Why a replica failed to start. */
export type StartControlError = OpenLogError | ConnectionError;

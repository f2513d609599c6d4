/** What a replica of control needs, and what it offers. */
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
  DecisionSink,
  NetworkAddress,
  ReplicaId,
} from '@cranberryturn/types';
import type { Network } from '@cranberryturn/wire';
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
import type { GroupOptions } from './form-group.js';
import type { InForceTable } from './in-force-table.js';

/** Opens the log of this replica. */
export type LogOpener = (
  stateMachine: StateMachine<EntryOutcome>,
  link: PeerLink,
) => ResultAsync<ReplicatedLog<EntryOutcome>, OpenLogError>;

/** What a replica of control needs. */
export interface ControlOptions {
  /** Connections from other replicas and from dispatchers. */
  readonly listen: NetworkAddress;
  /** Creates the network once the log has told the identity of this replica. */
  readonly joinNetwork: (self: ReplicaId) => Network;
  readonly timers: TimerService;
  readonly openLog: LogOpener;
  /** Replicas known before the log tells of them. */
  readonly peers: readonly {
    readonly replicaId: ReplicaId;
    readonly address: NetworkAddress;
  }[];
  /** Configuration that the first leader of an empty log proposes. */
  readonly initialConfiguration?: Omit<ClusterConfiguration, 'version'>;
  /** Present where the replicas form and mend their group by themselves. */
  readonly group?: GroupOptions | undefined;
  readonly retention?: Partial<ControlRetention>;
  readonly logger: Logger;
  readonly decisions: DecisionSink;
}

/** One running replica of control. */
export interface ControlNode {
  /** Address of its listener. */
  readonly address: NetworkAddress;
  readonly state: ControlState;
  readonly log: ReplicatedLog<EntryOutcome>;
  readonly proposer: OperationProposer;
  readonly feed: FollowerFeed;
  /** Carries out a call of an operator at the leader, wherever that is. */
  administer(call: AdministrationCall): Promise<AdministrationReply>;
  /** Carries out a call of an operator here. */
  administerLocally(call: AdministrationCall): Promise<AdministrationReply>;
  /** Versions that dispatchers reported to this replica; complete only at the leader. */
  readonly inForce: InForceTable;
  /** Planned stop: hands over the lead first. */
  stop(): Promise<void>;
}

/** Why a replica did not start. */
export type StartControlError = OpenLogError | ConnectionError;

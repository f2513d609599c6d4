/** Members of the replicated log and membership changes. */
import type { ReplicaId } from '@cranberryturn/types';

/** Whether a member counts towards the quorum. */
export enum MemberRole {
  /** Votes and counts towards the quorum. */
  Voter = 'voter',
  /** Receives the log but does not count towards the quorum. */
  Learner = 'learner',
  /**
   * As a learner, but never promoted: its host keeps nothing after a restart, unless the member is
   * marked as a standby.
   */
  Observer = 'observer',
}

/** One member of the log. */
export interface Member {
  readonly replicaId: ReplicaId;
  readonly role: MemberRole;
  /** Network address for the peer link. The log stores it without interpreting it. */
  readonly address: string;
  /** Site of the host. The log stores it without interpreting it; records of earlier versions have none. */
  readonly dataCentre?: string;
  /** Set on an observer whose host has a disk, so that it may take the place of a voter. */
  readonly isStandby?: true;
}

/** Kinds of membership changes. */
export enum MemberChangeKind {
  AddLearner = 'add-learner',
  AddObserver = 'add-observer',
  /** Turns a learner into a voter once its synced log has caught up. */
  Promote = 'promote',
  Remove = 'remove',
  /** Turns a standby into a learner, which may then be promoted. */
  MakeLearner = 'make-learner',
  /** Turns a voter or a learner into a standby. */
  MakeStandby = 'make-standby',
  SetDataCentre = 'set-data-centre',
}

/** Adds a learner. */
export interface AddLearnerChange {
  readonly kind: MemberChangeKind.AddLearner;
  readonly replicaId: ReplicaId;
  readonly address: string;
  readonly dataCentre?: string;
}

/** Adds an observer. */
export interface AddObserverChange {
  readonly kind: MemberChangeKind.AddObserver;
  readonly replicaId: ReplicaId;
  readonly address: string;
  readonly dataCentre?: string;
  /** Set when the host has a disk. */
  readonly isStandby?: true;
}

/** Turns a learner into a voter. */
export interface PromoteChange {
  readonly kind: MemberChangeKind.Promote;
  readonly replicaId: ReplicaId;
}

/** Removes a member. A host that returns with an empty data folder joins under a new identity. */
export interface RemoveChange {
  readonly kind: MemberChangeKind.Remove;
  readonly replicaId: ReplicaId;
}

/** Turns an observer with a disk into a learner. */
export interface MakeLearnerChange {
  readonly kind: MemberChangeKind.MakeLearner;
  readonly replicaId: ReplicaId;
}

/** Turns a voter or a learner into a standby. The leader cannot do this to itself. */
export interface MakeStandbyChange {
  readonly kind: MemberChangeKind.MakeStandby;
  readonly replicaId: ReplicaId;
}

/** Records the data centre of a member, such as a founding one. */
export interface SetDataCentreChange {
  readonly kind: MemberChangeKind.SetDataCentre;
  readonly replicaId: ReplicaId;
  readonly dataCentre: string;
}

/** Change of one member. Changes are made one at a time. */
export type MemberChange =
  | AddLearnerChange
  | AddObserverChange
  | PromoteChange
  | RemoveChange
  | MakeLearnerChange
  | MakeStandbyChange
  | SetDataCentreChange;

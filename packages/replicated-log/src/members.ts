/** Members of the replicated log and the changes to them. */
import type { ReplicaId } from '@cranberryturn/types';

/** Whether a member counts towards the majority. */
export enum MemberRole {
  /** Votes and counts towards the majority. */
  Voter = 'voter',
  /** Receives the log, but neither votes nor counts. */
  Learner = 'learner',
}

/** One member of the log. */
export interface Member {
  readonly replicaId: ReplicaId;
  readonly role: MemberRole;
  /** Where the peer link reaches the member; the log passes it on without reading it. */
  readonly address: string;
}

/** What a change of members does. */
export enum MemberChangeKind {
  AddLearner = 'add-learner',
  /** Turns a learner whose log is synced and caught up into a voter. */
  Promote = 'promote',
  Remove = 'remove',
}

/** Adds a learner. */
export interface AddLearnerChange {
  readonly kind: MemberChangeKind.AddLearner;
  readonly replicaId: ReplicaId;
  readonly address: string;
}

/** Turns a learner into a voter. */
export interface PromoteChange {
  readonly kind: MemberChangeKind.Promote;
  readonly replicaId: ReplicaId;
}

/** Removes a member. A host that comes back with a blank data folder joins under a new identity. */
export interface RemoveChange {
  readonly kind: MemberChangeKind.Remove;
  readonly replicaId: ReplicaId;
}

/** A change of one member. */
export type MemberChange = AddLearnerChange | PromoteChange | RemoveChange;

/** State of a planned group. */
import { type Member, MemberRole } from '@cranberryturn/replicated-log';
import type { ReplicaId } from '@cranberryturn/types';

/** A host with a disk. */
export interface PlannedHost {
  readonly name: string;
  readonly dataCentre: string;
}

/** A host, and the identity on its disk. */
export interface RunningHost extends PlannedHost {
  readonly replicaId: ReplicaId;
  readonly isUp: boolean;
}

/** One identity of a host. */
export interface Replica {
  /** Entries on its disk. */
  readonly synced: number;
  /** Since when it is down or replaced. */
  readonly downSince: number;
}

/** The whole state; it is replaced, never changed. */
export interface GroupState {
  readonly now: number;
  readonly hosts: ReadonlyMap<string, RunningHost>;
  readonly replicas: ReadonlyMap<ReplicaId, Replica>;
  readonly members: readonly Member[];
  readonly leader: ReplicaId;
  readonly leaderSince: number;
  readonly acknowledged: number;
}

/** The members that vote. */
export function listVoters(members: readonly Member[]): readonly Member[] {
  return members.filter(({ role }) => role === MemberRole.Voter);
}

/** Whether the host of a member runs under the identity of the member. */
export function isUp(
  { hosts }: GroupState,
  { replicaId, address }: Member,
): boolean {
  const host = hosts.get(address);
  return host?.isUp === true && host.replicaId === replicaId;
}

/** Routes administration calls that arrive at any replica to the leader. */
import { type LogStatus, ReplicaRole } from '@cranberryturn/replicated-log';
import type { ReplicaId } from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

import { composeRefusal } from './administer-control.js';
import {
  type AdministrationCall,
  type AdministrationReply,
  AdministrationReplyKind,
} from './administration-calls.js';

/** The two routes of a call: on this replica, or at the leader over the network. */
export interface AdministrationRoutes {
  readonly status: () => LogStatus;
  readonly administerLocally: (
    call: AdministrationCall,
  ) => Promise<AdministrationReply>;
  /** Resolves with undefined when the leader runs a version that does not know the call. */
  readonly administerAt: (
    leader: ReplicaId,
    call: AdministrationCall,
  ) => ResultAsync<AdministrationReply | undefined, Error>;
}

/**
 * Executes a call on this replica when it leads, otherwise at the leader. Replies `Unavailable`
 * when no leader is known or the leader does not answer.
 */
export async function forwardToLeader(
  routes: AdministrationRoutes,
  call: AdministrationCall,
): Promise<AdministrationReply> {
  const { role, leader, replicaId } = routes.status();
  if (role === ReplicaRole.Leader) return await routes.administerLocally(call);
  if (leader === undefined || leader === replicaId) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      `${replicaId} knows no leader: control has lost its majority, or an election is in progress. Retry in a second; if this persists, see docs/operators/lose-the-majority.md.`,
    );
  }
  const forwarded = await routes.administerAt(leader, call);
  return (
    forwarded.unwrapOr(undefined) ??
    composeRefusal(
      AdministrationReplyKind.Unavailable,
      `The leader ${leader} did not answer ${replicaId}. A confirm may still be accepted: retry the call, a confirm with the same request identifier.`,
    )
  );
}

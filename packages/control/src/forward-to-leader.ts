/** Carries out the calls of operators on any replica: at the leader itself, or forwarded to it. */
import { type LogStatus, ReplicaRole } from '@cranberryturn/replicated-log';
import type { ReplicaId } from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

import { composeRefusal } from './administer-control.js';
import {
  type AdministrationCall,
  type AdministrationReply,
  AdministrationReplyKind,
} from './administration-calls.js';

/** Ways to carry out a call. */
export interface AdministrationRoutes {
  readonly status: () => LogStatus;
  readonly administerLocally: (
    call: AdministrationCall,
  ) => Promise<AdministrationReply>;
  readonly administerAt: (
    leader: ReplicaId,
    call: AdministrationCall,
  ) => ResultAsync<AdministrationReply, Error>;
}

/** Carries out one call, whoever leads. */
export async function forwardToLeader(
  routes: AdministrationRoutes,
  call: AdministrationCall,
): Promise<AdministrationReply> {
  const { role, leader, replicaId } = routes.status();
  if (role === ReplicaRole.Leader) return await routes.administerLocally(call);
  if (leader === undefined || leader === replicaId) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      `${replicaId} knows no leader: control has lost its majority, or an election is under way. Try again in a second; if this lasts, see docs/operators/lose-the-majority.md.`,
    );
  }
  const forwarded = await routes.administerAt(leader, call);
  return forwarded.unwrapOr(
    composeRefusal(
      AdministrationReplyKind.Unavailable,
      `The leader ${leader} did not answer ${replicaId}; a confirm may still be accepted. Send the same call again, a confirm with the same request identifier.`,
    ),
  );
}

/** Records granted claims in the decision log. */
import {
  type ClaimRequest,
  ClaimOutcomeKind,
  DecisionKind,
  type DecisionSink,
} from '@cranberryturn/types';
import {
  ControlMethod,
  type ControlReply,
  ControlReplyKind,
} from '@cranberryturn/wire';

import type { ControlWrite } from './control-operations.js';

/**
 * Records a decision when the reply grants a claim or an adoption; ignores other calls and replies.
 */
export function recordClaim(
  decisions: DecisionSink,
  call: ControlWrite,
  reply: ControlReply,
): void {
  const claim = findClaim(call);
  if (claim === undefined || reply.kind !== ControlReplyKind.Claim) return;
  if (reply.outcome.kind !== ClaimOutcomeKind.Granted) return;
  decisions({
    kind: DecisionKind.Claimed,
    jobId: claim.jobId,
    owner: claim.owner.dispatcherId,
    epoch: reply.outcome.epoch,
  });
}

function findClaim(call: ControlWrite): ClaimRequest | undefined {
  if (call.method === ControlMethod.Claim) return call.claim;
  return call.method === ControlMethod.Adopt ? call.adopt : undefined;
}

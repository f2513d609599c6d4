/** Checks of the calls between dispatchers. */
import { JobOutcome, Started } from '@cranberryturn/types';

import {
  isAmount,
  isFiniteNumber,
  isFlag,
  isListOf,
  isOneOf,
  isRecord,
  isText,
  isVariant,
} from '../shapes.js';
import { isDispatcherAddress, isTargetIdentity } from './common-checks.js';
import {
  DispatcherMethod,
  DispatcherReplyKind,
} from './dispatcher-messages.js';

const isShares = isListOf(isRecord({ limit: isText, units: isAmount }));
const isJobSelection = isRecord({ jobId: isText });

/** Whether a decoded value is a `DispatcherCall`. */
export const isDispatcherCall = isVariant('method', {
  [DispatcherMethod.JoinJob]: isRecord({
    team: isText,
    jobId: isText,
    digest: isText,
    waitMilliseconds: isAmount,
  }),
  [DispatcherMethod.CancelJob]: isJobSelection,
  [DispatcherMethod.FindJob]: isJobSelection,
  [DispatcherMethod.BorrowShares]: isRecord({
    request: isRecord({ borrower: isText, wanted: isShares }),
  }),
  [DispatcherMethod.InviteTargets]: isRecord({
    targets: isListOf(isTargetIdentity),
    dispatcher: isDispatcherAddress,
  }),
});

const isJobResult = isVariant('outcome', {
  [JobOutcome.Complete]: isRecord({
    jobId: isText,
    answers: isListOf(isRecord({ taskId: isText, answer: isText })),
  }),
  [JobOutcome.Failed]: isRecord({
    jobId: isText,
    reason: isText,
    started: isOneOf(Started),
    deadlinePassed: isFlag,
  }),
});

/** Whether a decoded value is a `DispatcherReply`. */
export const isDispatcherReply = isVariant('kind', {
  [DispatcherReplyKind.Result]: isRecord({ result: isJobResult }),
  [DispatcherReplyKind.Running]: isRecord({}),
  [DispatcherReplyKind.NotOwner]: isRecord({}),
  [DispatcherReplyKind.Shares]: isRecord({
    reply: isRecord({ lent: isShares, loanMilliseconds: isFiniteNumber }),
  }),
  [DispatcherReplyKind.Invited]: isRecord({}),
});

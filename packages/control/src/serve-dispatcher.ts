/** Serves the connection of a dispatcher: answers calls, sends updates, receives reports. */
import type { TimerService } from '@cranberryturn/timers';
import {
  type Connection,
  type ControlCall,
  ControlMethod,
  type ControlReply,
  ControlReplyKind,
  type InForceReport,
  isControlCall,
  isInForceReport,
  requireShape,
  serveRemoteCalls,
} from '@cranberryturn/wire';

import type { OperationProposer, ProposeError } from './batch-operations.js';
import {
  type ControlWrite,
  OperationKind,
  type OperationOutcome,
  OperationOutcomeKind,
} from './control-operations.js';
import type { FollowerFeed } from './feed-followers.js';

/** Dependencies of a dispatcher connection. */
export interface DispatcherServices {
  readonly timers: TimerService;
  readonly proposer: OperationProposer;
  readonly feed: FollowerFeed;
  readonly observeOutcome: (call: ControlWrite, reply: ControlReply) => void;
  readonly receiveReport: (report: InForceReport) => void;
}

/** Serves a connection until it ends, then removes its follower from the feed. */
export async function serveDispatcher(
  connection: Connection,
  services: DispatcherServices,
): Promise<void> {
  const { timers, feed } = services;
  const peer = connection.peer.name;

  const handleCall = async (call: ControlCall): Promise<ControlReply> => {
    if (call.method === ControlMethod.Watch) {
      feed.addFollower(calls, call);
      return { kind: ControlReplyKind.Done, index: feed.appliedIndex() };
    }
    const reply = await submitCall(call, services.proposer);
    services.observeOutcome(call, reply);
    return reply;
  };

  const calls = serveRemoteCalls(connection, timers, {
    // A malformed call must not become a log entry, which every replica would fail to apply.
    handleCall: async body =>
      handleCall(requireShape<ControlCall>(body, isControlCall, peer)),
    handleNotice: body => {
      services.receiveReport(
        requireShape<InForceReport>(body, isInForceReport, peer),
      );
    },
  });
  await calls.ended;
  feed.removeFollower(calls);
}

async function submitCall(
  call: ControlWrite,
  proposer: OperationProposer,
): Promise<ControlReply> {
  const submitted = await proposer.submit({ kind: OperationKind.Call, call });
  return submitted.match(composeReply, composeFailureReply);
}

function composeReply(outcome: OperationOutcome): ControlReply {
  switch (outcome.kind) {
    case OperationOutcomeKind.Claim:
      return { kind: ControlReplyKind.Claim, outcome: outcome.outcome };
    case OperationOutcomeKind.Done:
      return { kind: ControlReplyKind.Done, index: outcome.index };
    case OperationOutcomeKind.Confirm:
    case OperationOutcomeKind.Evacuation:
      return {
        kind: ControlReplyKind.Unknown,
        reason: 'dispatchers cannot act as operators',
      };
  }
}

function composeFailureReply(error: ProposeError): ControlReply {
  if ('mayHaveHappened' in error && !error.mayHaveHappened) {
    return { kind: ControlReplyKind.NotLeader, leader: error.leader };
  }
  return { kind: ControlReplyKind.Unknown, reason: error.message };
}

/** Messages between dispatchers. */
import type {
  BodyDigest,
  DispatcherId,
  JobId,
  JobResult,
  Milliseconds,
  TargetIdentity,
  TeamName,
} from '@cranberryturn/types';

import type { DispatcherAddress } from './target-messages.js';

/** A number of units of one limit. */
export interface ShareUnits {
  readonly limit: string;
  readonly units: number;
}

/** Sets the loans to the borrower, for all limits at once; replaces earlier loans. */
export interface SharesRequest {
  readonly borrower: DispatcherId;
  readonly wanted: readonly ShareUnits[];
}

/** The loans that the lender granted, and their duration. */
export interface SharesReply {
  readonly lent: readonly ShareUnits[];
  readonly loanMilliseconds: Milliseconds;
}

/** Calls between dispatchers. */
export enum DispatcherMethod {
  /** Waits for the result of a job that the other dispatcher owns. */
  JoinJob = 'join-job',
  /** Cancels a job and waits for its result. */
  CancelJob = 'cancel-job',
  /** Asks for the result of a job without waiting. */
  FindJob = 'find-job',
  /** Borrows units of limits that the other dispatcher does not need. */
  BorrowShares = 'borrow-shares',
  /** Asks the other dispatcher to make its targets open a session with the calling dispatcher. */
  InviteTargets = 'invite-targets',
}

/** A call from one dispatcher to another. */
export type DispatcherCall =
  | {
      readonly method: DispatcherMethod.JoinJob;
      readonly team: TeamName;
      readonly jobId: JobId;
      readonly digest: BodyDigest;
      /** Maximum wait before the reply `running`, which shows that the owner is alive. */
      readonly waitMilliseconds: Milliseconds;
    }
  | {
      readonly method: DispatcherMethod.CancelJob | DispatcherMethod.FindJob;
      readonly jobId: JobId;
    }
  | {
      readonly method: DispatcherMethod.BorrowShares;
      readonly request: SharesRequest;
    }
  | {
      readonly method: DispatcherMethod.InviteTargets;
      readonly targets: readonly TargetIdentity[];
      readonly dispatcher: DispatcherAddress;
    };

/** Kinds of reply to a call between dispatchers. */
export enum DispatcherReplyKind {
  Result = 'result',
  /** The job is in progress on the replying dispatcher and has no result yet. */
  Running = 'running',
  /** The replying run of the dispatcher does not know the job. */
  NotOwner = 'not-owner',
  Shares = 'shares',
  Invited = 'invited',
}

/** A reply from one dispatcher to another. */
export type DispatcherReply =
  | { readonly kind: DispatcherReplyKind.Result; readonly result: JobResult }
  | { readonly kind: DispatcherReplyKind.Running }
  | { readonly kind: DispatcherReplyKind.NotOwner }
  | { readonly kind: DispatcherReplyKind.Shares; readonly reply: SharesReply }
  | { readonly kind: DispatcherReplyKind.Invited };

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

/** Units of one limit. */
export interface ShareUnits {
  readonly limit: string;
  readonly units: number;
}

/** Asks that the loans to the borrower become these, all limits at once. */
export interface SharesRequest {
  readonly borrower: DispatcherId;
  readonly wanted: readonly ShareUnits[];
}

/** What is lent from now on. */
export interface SharesReply {
  readonly lent: readonly ShareUnits[];
  readonly loanMilliseconds: Milliseconds;
}

/** The calls between dispatchers. */
export enum DispatcherMethod {
  /** Waits for the result of a job that the other dispatcher owns. */
  JoinJob = 'join-job',
  /** Cancels a job and waits for its result. */
  CancelJob = 'cancel-job',
  /** Asks for the result of a job without waiting. */
  FindJob = 'find-job',
  /** Asks for parts of limits that the other dispatcher does not need. */
  BorrowShares = 'borrow-shares',
  /** Asks that targets with a session there open one with the caller. */
  InviteTargets = 'invite-targets',
}

/** A call from one dispatcher to another. */
export type DispatcherCall =
  | {
      readonly method: DispatcherMethod.JoinJob;
      readonly team: TeamName;
      readonly jobId: JobId;
      readonly digest: BodyDigest;
      /** Longest time to wait before the answer `running`, which shows that the owner lives. */
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

/** How a call between dispatchers ended. */
export enum DispatcherReplyKind {
  Result = 'result',
  /** The job runs there and has no result yet. */
  Running = 'running',
  /** This run of the dispatcher does not know the job. */
  NotOwner = 'not-owner',
  Shares = 'shares',
  Invited = 'invited',
}

/** The answer of a dispatcher to another. */
export type DispatcherReply =
  | { readonly kind: DispatcherReplyKind.Result; readonly result: JobResult }
  | { readonly kind: DispatcherReplyKind.Running }
  | { readonly kind: DispatcherReplyKind.NotOwner }
  | { readonly kind: DispatcherReplyKind.Shares; readonly reply: SharesReply }
  | { readonly kind: DispatcherReplyKind.Invited };

import type {
  BodyDigest,
  JobId,
  JobResult,
  TeamName,
} from '@cranberryturn/types';

/** The calls between dispatchers. */
export enum DispatcherMethod {
  JoinJob = 'join-job',
  CancelJob = 'cancel-job',
}

/** A call from one dispatcher to another. */
export type DispatcherCall =
  | {
      /** Waits for the result of a job that the other dispatcher owns. */
      readonly method: DispatcherMethod.JoinJob;
      readonly team: TeamName;
      readonly jobId: JobId;
      readonly digest: BodyDigest;
    }
  | {
      readonly method: DispatcherMethod.CancelJob;
      readonly team: TeamName;
      readonly jobId: JobId;
    };

/** How a call between dispatchers ended. */
export enum DispatcherReplyKind {
  Result = 'result',
  /** This run of the dispatcher does not own the job. */
  NotOwner = 'not-owner',
}

/** The answer of a dispatcher to another. */
export type DispatcherReply =
  | { readonly kind: DispatcherReplyKind.Result; readonly result: JobResult }
  | { readonly kind: DispatcherReplyKind.NotOwner };

/** Messages between dispatchers about jobs that are cancelled, and all messages of their sessions. */
import type { JobId } from '@cranberryturn/types';

import type {
  FromCoordinatorMessage,
  ToCoordinatorMessage,
} from './capacity-messages.js';

/** Kinds of message about a cancelled job. */
export enum JobCancelKind {
  Request = 'cancel-job',
  Answer = 'cancelled-job',
}

/** Asks a dispatcher to end a job, and to start no job of this identifier for some time. */
export interface JobCancelRequest {
  readonly kind: JobCancelKind.Request;
  /** Number that the answer repeats. */
  readonly cancel: number;
  readonly jobId: JobId;
}

/** What a dispatcher knew of a job that was cancelled. */
export enum JobFinding {
  InProgress = 'in-progress',
  /** It has ended there a short time ago. */
  EndedBefore = 'ended-before',
  Unknown = 'unknown',
}

/** Answers a request; the dispatcher has no such job in progress any more. */
export interface JobCancelAnswer {
  readonly kind: JobCancelKind.Answer;
  readonly cancel: number;
  readonly finding: JobFinding;
}

/** A message of the dispatcher that has opened a session. */
export type DispatcherRequest = ToCoordinatorMessage | JobCancelRequest;

/** A message of the dispatcher that has accepted a session. */
export type DispatcherAnswer = FromCoordinatorMessage | JobCancelAnswer;

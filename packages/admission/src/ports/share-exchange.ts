/** Requests between dispatchers for loans of units of limits. */
import type { CranberryError } from '@cranberryturn/errors';
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** Key of a limit, for example `team/planning/concurrency`. */
export type LimitKey = string;

/** Units of one limit. */
export interface LimitUnits {
  readonly limit: LimitKey;
  readonly units: number;
}

/** Asks a peer to set its loans to the borrower to these units, for all limits at once. */
export interface BorrowRequest {
  readonly borrower: DispatcherId;
  readonly wanted: readonly LimitUnits[];
}

/** Roster that a dispatcher has applied, and whether its use follows that roster. */
export interface RosterStatus {
  readonly rosterVersion: number;
  /** Whether use and loans stay within the allocations, and no departed run may still have tasks. */
  readonly settled: boolean;
}

/** Loans of a peer from now on. */
export interface BorrowReply {
  readonly lent: readonly LimitUnits[];
  /** Time after the reply for which the lender does not use the units. */
  readonly loanMilliseconds: Milliseconds;
  readonly standing?: RosterStatus | undefined;
}

/** Sends requests to other dispatchers. */
export interface ShareExchange {
  borrow(
    peer: DispatcherId,
    request: BorrowRequest,
  ): ResultAsync<BorrowReply, CranberryError>;
}

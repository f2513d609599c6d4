/** How dispatchers lend each other parts of their limits. */
import type { CranberryError } from '@cranberryturn/errors';
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** Names a limit, for example `team/planning/concurrency`. */
export type LimitKey = string;

/** Units of one limit. */
export interface LimitUnits {
  readonly limit: LimitKey;
  readonly units: number;
}

/** Asks a peer that its loans to the borrower become these, all limits at once. */
export interface BorrowRequest {
  readonly borrower: DispatcherId;
  readonly wanted: readonly LimitUnits[];
}

/** How far a dispatcher has taken in who shares the limits. */
export interface RosterStatus {
  readonly rosterVersion: number;
  /** Whether it uses and lends no more than its parts, and knows of nobody else who may. */
  readonly settled: boolean;
}

/** What a peer lends from now on. */
export interface BorrowReply {
  readonly lent: readonly LimitUnits[];
  /** Time for which the lender does without the units, from when it replied. */
  readonly loanMilliseconds: Milliseconds;
  readonly standing?: RosterStatus | undefined;
}

/** Calls other dispatchers. */
export interface ShareExchange {
  borrow(
    peer: DispatcherId,
    request: BorrowRequest,
  ): ResultAsync<BorrowReply, CranberryError>;
}

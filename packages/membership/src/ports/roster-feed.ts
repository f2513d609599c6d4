/** Ports of the roster: reading the latest roster, and registration at control. */
import type { TimeoutError, UnavailableError } from '@cranberryturn/errors';
import type {
  DispatcherIdentity,
  DispatcherRecord,
  LogIndex,
  Roster,
  TargetAnnouncement,
  TargetIdentity,
} from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** The latest roster known to this process. */
export interface RosterFeed {
  current(): Roster;
  /** Calls the listener with each later roster. Returns a function that ends the subscription. */
  subscribe(listener: (roster: Roster) => void): () => void;
}

/** Error of a registration without a known outcome. The registration may have been applied nevertheless. */
export type RegistrationError = UnavailableError | TimeoutError;

/** Registration of processes at control. Every call is idempotent and resolves with a log index. */
export interface RosterStore {
  registerDispatcher(
    dispatcher: DispatcherRecord,
  ): ResultAsync<LogIndex, RegistrationError>;
  /** Retires a run of a dispatcher that is stopping and has answered all of its jobs. */
  retireDispatcher(
    dispatcher: DispatcherIdentity,
  ): ResultAsync<LogIndex, RegistrationError>;
  registerTarget(
    target: TargetAnnouncement,
  ): ResultAsync<LogIndex, RegistrationError>;
  retireTarget(
    target: TargetIdentity,
  ): ResultAsync<LogIndex, RegistrationError>;
}

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

/** The roster as this process knows it. */
export interface RosterFeed {
  current(): Roster;
  /** Calls the listener with each later roster. Returns a function that ends this. */
  subscribe(listener: (roster: Roster) => void): () => void;
}

/** Why a registration has no outcome; it may have been done all the same. */
export type RegistrationError = UnavailableError | TimeoutError;

/** Registers processes at control. Each call is idempotent. */
export interface RosterStore {
  registerDispatcher(
    dispatcher: DispatcherRecord,
  ): ResultAsync<LogIndex, RegistrationError>;
  /** Says that this run of a dispatcher stops and has answered all of its jobs. */
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

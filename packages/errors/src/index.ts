/** Error classes that record the step and the peer at which an error occurred. */

/** Origin of an error. */
export interface ErrorOrigin {
  /** Operation that failed, for example `claim job`. */
  readonly step: string;
  /** Name or address of the other process involved, if any. */
  readonly peer?: string | undefined;
}

/**
 * Base class of all expected errors. The message is a sentence that names the fault and, where
 * possible, the remedy. `name` is the name of the class and appears in logs.
 */
export class CranberryError extends Error {
  readonly step: string;
  readonly peer: string | undefined;

  constructor(message: string, origin: ErrorOrigin, cause?: unknown) {
    super(message, cause === undefined ? undefined : { cause });
    this.name = new.target.name;
    this.step = origin.step;
    this.peer = origin.peer;
  }
}

/** A connection could not be opened or has ended; a pending call may have been processed. */
export class ConnectionError extends CranberryError {}

/** A peer did not prove that it holds the shared key. */
export class AuthenticationError extends CranberryError {}

/** No reply arrived within the timeout; the call may have been processed. */
export class TimeoutError extends CranberryError {}

/** The peer refused the call; the call had no effect and never will have one. */
export class RefusedError extends CranberryError {}

/** Control has no reachable leader with a majority; the call may have been processed. */
export class UnavailableError extends CranberryError {}

/** Stored data does not match its checksum or its format. */
export class CorruptionError extends CranberryError {}

/** Input from a person or a caller is not valid. */
export class InvalidInputError extends CranberryError {}

/** A conflicting change was accepted first. */
export class ConflictError extends CranberryError {}

/** A disk operation failed. */
export class StorageError extends CranberryError {}

/** Error classes that carry the step and the peer at which they arose. */

/** Where an error arose. */
export interface ErrorOrigin {
  /** What the process was doing, for example `claim job`. */
  readonly step: string;
  /** The other process concerned, when there is one. */
  readonly peer?: string | undefined;
}

/** Base of every expected error. The message tells a person what is at fault and what to do. */
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

/** A connection could not be opened, or ended. */
export class ConnectionError extends CranberryError {}

/** A peer did not prove that it holds the shared key. */
export class AuthenticationError extends CranberryError {}

/** No answer arrived in the time allowed; the work may have been done. */
export class TimeoutError extends CranberryError {}

/** The peer refused, and the work was not done and never will be. */
export class RefusedError extends CranberryError {}

/** Control has no reachable leader with a majority; the work may have been done. */
export class UnavailableError extends CranberryError {}

/** Stored data does not match its checksum or its format. */
export class CorruptionError extends CranberryError {}

/** Input from a person or a caller is not valid. */
export class InvalidInputError extends CranberryError {}

/** Another change was accepted first. */
export class ConflictError extends CranberryError {}

/** A disk operation failed. */
export class StorageError extends CranberryError {}

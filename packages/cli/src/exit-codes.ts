/** How a command of the operator ended. */
export enum CommandExitCode {
  Success = 0,
  /** The call failed for another reason. */
  Failure = 1,
  /** The command line, the settings or the intent is not valid; nothing was changed. */
  Invalid = 2,
  /** Another change was accepted first; nothing was changed. */
  Conflict = 3,
  /** No control host could settle the call; a confirm may still be accepted. */
  Unavailable = 4,
  /** The change was accepted, but is not yet in force everywhere. */
  NotInForce = 5,
}

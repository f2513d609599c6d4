/** Exit codes of the `cranberryctl` commands that call the administration API. */
export enum CommandExitCode {
  Success = 0,
  /** The call failed for a reason without a code of its own. */
  Failure = 1,
  /** The command line, the settings, the token or the intent is invalid; nothing was changed. */
  Invalid = 2,
  /** Another change to the same base version was accepted first; nothing was changed. */
  Conflict = 3,
  /** No control host gave a final response; a confirm may have been accepted. */
  Unavailable = 4,
  /** The change was accepted, but is not yet in force everywhere. */
  NotInForce = 5,
}

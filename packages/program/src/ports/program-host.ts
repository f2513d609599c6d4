/** Port to the process in which a program runs. */

/** Arguments, output, stop signals and exit of the process. */
export interface ProgramHost {
  /** Command line arguments, without the names of the interpreter and the script. */
  readonly commandLine: readonly string[];
  /** Writes text to the standard output. */
  writeOutput(text: string): void;
  /** Writes text to the standard error output. */
  writeError(text: string): void;
  /** Calls `handler` with the signal name on each request to end the process. */
  onStopSignal(handler: (signal: string) => void): void;
  /** Calls `handler` with each error that nothing in the process caught, instead of ending the process. */
  onUnexpectedError(handler: (error: unknown) => void): void;
  /** Ends the process immediately. */
  exit(code: number): void;
}

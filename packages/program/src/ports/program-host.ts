/** Port to the operating system as one program sees it. */

/** What a program needs from the process it runs in. */
export interface ProgramHost {
  /** Arguments after the name of the program. */
  readonly commandLine: readonly string[];
  /** Writes text for a person to the standard output. */
  writeOutput(text: string): void;
  /** Writes text for a person to the standard error output. */
  writeError(text: string): void;
  /** Calls `handler` on each request to end the process. */
  onStopSignal(handler: (signal: string) => void): void;
  /** Ends the process at once. */
  exit(code: number): void;
}

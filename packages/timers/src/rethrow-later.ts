/** Passes an unexpected error to the process without interrupting the caller. */

/**
 * Throws an error in a task of its own. For loops and lists of callbacks that must go on after an error,
 * while the process logs it and decides whether it ends.
 */
export function rethrowLater(error: unknown): void {
  setImmediate(() => {
    throw error;
  });
}

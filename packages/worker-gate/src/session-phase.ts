/** Phases of the session of a sidecar with one dispatcher. */

/** Whether a dispatcher may place runs in its session. */
export enum SessionPhase {
  Open = 'open',
  /** The dispatcher is asked to place no further runs; those that it has placed go on. */
  Leaving = 'leaving',
  /** The dispatcher was told that the session ends; its orders are refused. */
  Left = 'left',
}

/** Faults that a stand-in target can be set to show. */
import type { Milliseconds } from '@cranberryturn/types';

/** Kinds of fault of a stand-in target. */
export enum TargetFaultKind {
  None = 'none',
  /** Answers every task at once with status 500. */
  FailAll = 'fail-all',
  /** Runs each task longer. */
  Slow = 'slow',
  /** Accepts each task and never answers. */
  Hang = 'hang',
  /** Alternates between answering and failing all. */
  Flap = 'flap',
  /** Runs each task and then closes the connection without an answer. */
  DropConnection = 'drop-connection',
}

/** A fault of a stand-in target. */
export type TargetFault =
  | { readonly kind: TargetFaultKind.None }
  | { readonly kind: TargetFaultKind.FailAll }
  | { readonly kind: TargetFaultKind.Slow; readonly factor: number }
  | { readonly kind: TargetFaultKind.Hang }
  | {
      readonly kind: TargetFaultKind.Flap;
      /** Time in each of the two states, healthy first. */
      readonly periodMilliseconds: Milliseconds;
    }
  | { readonly kind: TargetFaultKind.DropConnection };

/** How a target treats one task that starts now. */
export enum TaskTreatment {
  Run = 'run',
  Fail = 'fail',
  Hang = 'hang',
  Drop = 'drop',
}

/** Decides how a task that starts `elapsed` milliseconds after the fault was set is treated. */
export function selectTreatment(
  fault: TargetFault,
  elapsed: Milliseconds,
): TaskTreatment {
  switch (fault.kind) {
    case TargetFaultKind.None:
    case TargetFaultKind.Slow:
      return TaskTreatment.Run;
    case TargetFaultKind.FailAll:
      return TaskTreatment.Fail;
    case TargetFaultKind.Hang:
      return TaskTreatment.Hang;
    case TargetFaultKind.DropConnection:
      return TaskTreatment.Drop;
    case TargetFaultKind.Flap:
      return Math.floor(elapsed / fault.periodMilliseconds) % 2 === 0
        ? TaskTreatment.Run
        : TaskTreatment.Fail;
  }
}

/** The factor by which a fault lengthens run times. */
export function getRunTimeFactor(fault: TargetFault): number {
  return fault.kind === TargetFaultKind.Slow ? fault.factor : 1;
}

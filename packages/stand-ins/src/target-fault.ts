/** Faults that can be injected into a stand-in target. */
import type { Milliseconds } from '@cranberryturn/types';

/** Kinds of fault of a stand-in target. */
export enum TargetFaultKind {
  None = 'none',
  /** Answers every task immediately with status 500. */
  FailAll = 'fail-all',
  /** Runs each task longer, by a factor. */
  Slow = 'slow',
  /** Accepts each task and never answers. */
  Hang = 'hang',
  /** Alternates between running tasks normally and failing all. */
  Flap = 'flap',
  /** Runs each task and then closes the connection without an answer. */
  DropConnection = 'drop-connection',
}

/** A fault of a stand-in target with its parameters. */
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

/** Selects the treatment of a task that starts `elapsed` milliseconds after the fault was set. */
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

/** Returns the factor by which a fault lengthens run times; 1 for faults that do not. */
export function getRunTimeFactor(fault: TargetFault): number {
  return fault.kind === TargetFaultKind.Slow ? fault.factor : 1;
}

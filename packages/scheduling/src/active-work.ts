/** Records of the work in progress of one scheduler. */
import type { TimerSubscription } from '@cranberryturn/timers';
import {
  AttemptOutcome,
  type AttemptResult,
  type JobRequest,
  type Milliseconds,
  type TargetIdentity,
  type TargetLoad,
  type TargetRecord,
  type TargetState,
  type TaskRequest,
} from '@cranberryturn/types';

import {
  type JobOwnership,
  type TaskFate,
  TaskFateKind,
} from './ports/scheduler.js';

/** Work in progress. */
export interface ActiveJob {
  readonly request: JobRequest;
  readonly deadline: Milliseconds;
  ownership: JobOwnership;
  readonly open: Map<string, ActiveTask>;
  expiry: TimerSubscription | undefined;
}

/** Work in progress. */
export interface ActiveTask {
  readonly job: ActiveJob;
  readonly task: TaskRequest;
  attempt: number;
  target: ActiveTarget | undefined;
}

/** Work in progress. */
export interface ActiveTarget {
  readonly record: TargetRecord;
  load: TargetLoad;
  state: TargetState;
  readonly running: Set<ActiveTask>;
}

export function describeRun(target: TargetIdentity): string {
  return `${target.targetId}/${target.incarnation}`;
}

export function describeFate(result: AttemptResult): TaskFate {
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      return { kind: TaskFateKind.Answered, answer: result.answer };
    case AttemptOutcome.Failed:
      return { kind: TaskFateKind.Failed, reason: result.reason };
    case AttemptOutcome.NotStarted:
      return { kind: TaskFateKind.NotStarted, reason: result.reason };
  }
}

export function leastLoaded(
  candidates: readonly ActiveTarget[],
): ActiveTarget | undefined {
  return candidates.reduce<ActiveTarget | undefined>((best, one) => {
    if (best === undefined) return one;
    return countFree(one) > countFree(best) ? one : best;
  }, undefined);
}

export function countFree(target: ActiveTarget): number {
  return target.record.slots - target.running.size;
}

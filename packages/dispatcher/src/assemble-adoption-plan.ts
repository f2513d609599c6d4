/** Decides what becomes of each task of an adopted job. */
import {
  type TaskFate,
  TaskFateKind,
  type TaskPlan,
  TaskPlanKind,
} from '@cranberryturn/scheduling';
import {
  AttemptOutcome,
  type AttemptResult,
  type ClaimGranted,
  type TargetIdentity,
  type TaskId,
} from '@cranberryturn/types';
import type { JobEvidence } from '@cranberryturn/wire';

/** What one witness said; undefined when it could not be reached. */
export interface WitnessReport {
  readonly witness: TargetIdentity;
  readonly evidence: JobEvidence | undefined;
}

/** A task whose fate is already known. */
export interface EndedTask {
  readonly taskId: TaskId;
  readonly fate: TaskFate;
}

/** What becomes of each task of an adopted job. */
export interface AdoptionPlan {
  readonly ended: readonly EndedTask[];
  readonly plans: readonly TaskPlan[];
}

/**
 * Plans the adoption of a job. A task is placed only when every witness
 * disclaims it; silence of a witness is never taken as a disclaimer.
 * `received` holds the results that came in while the witnesses were asked.
 */
export function assembleAdoptionPlan(
  taskIds: readonly TaskId[],
  grant: ClaimGranted,
  reports: readonly WitnessReport[],
  received: readonly AttemptResult[],
): AdoptionPlan {
  const ended: EndedTask[] = [];
  const plans: TaskPlan[] = [];
  for (const taskId of taskIds) {
    const plan =
      findReceived(taskId, received) ??
      findRunning(taskId, reports) ??
      findEnded(taskId, reports) ??
      planUnreportedTask(taskId, grant, reports);
    if ('fate' in plan) {
      ended.push(plan);
    } else {
      plans.push(plan);
    }
  }
  return { ended, plans };
}

function findReceived(
  taskId: TaskId,
  received: readonly AttemptResult[],
): EndedTask | undefined {
  const result = received.find(
    one => one.taskId === taskId && one.outcome !== AttemptOutcome.NotStarted,
  );
  if (result === undefined) return undefined;
  return { taskId, fate: composeFate(result) };
}

function findRunning(
  taskId: TaskId,
  reports: readonly WitnessReport[],
): TaskPlan | undefined {
  for (const { witness, evidence } of reports) {
    const attempt = evidence?.running.find(one => one.taskId === taskId);
    if (attempt === undefined) continue;
    return { kind: TaskPlanKind.Await, attempt, target: witness };
  }
  return undefined;
}

function findEnded(
  taskId: TaskId,
  reports: readonly WitnessReport[],
): EndedTask | undefined {
  for (const { witness, evidence } of reports) {
    const result = evidence?.ended.find(one => one.taskId === taskId);
    if (result !== undefined) return { taskId, fate: composeFate(result) };
    if (evidence?.forgotten.some(one => one.taskId === taskId) !== true) {
      continue;
    }
    const reason = `Target ${witness.targetId} ran it, and its answer is no longer kept.`;
    return { taskId, fate: { kind: TaskFateKind.Failed, reason } };
  }
  return undefined;
}

function planUnreportedTask(
  taskId: TaskId,
  grant: ClaimGranted,
  reports: readonly WitnessReport[],
): TaskPlan | EndedTask {
  const inconclusive = reports.find(one => !canRuleOutStart(one, grant));
  if (inconclusive !== undefined) {
    const reason = `It may have been started on target ${inconclusive.witness.targetId}, which cannot tell any more.`;
    return { taskId, fate: { kind: TaskFateKind.Unknown, reason } };
  }
  if (!grant.finished) return { kind: TaskPlanKind.Place, taskId };
  const reason =
    'The job was answered before, and its answer is no longer kept.';
  return { taskId, fate: { kind: TaskFateKind.Unknown, reason } };
}

function canRuleOutStart(
  { evidence }: WitnessReport,
  grant: ClaimGranted,
): boolean {
  if (evidence === undefined) return false;
  return evidence.rememberedMilliseconds >= grant.ageMilliseconds;
}

function composeFate(result: AttemptResult): TaskFate {
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      return { kind: TaskFateKind.Answered, answer: result.answer };
    case AttemptOutcome.Failed:
      return { kind: TaskFateKind.Failed, reason: result.reason };
    case AttemptOutcome.NotStarted:
      return { kind: TaskFateKind.NotStarted, reason: result.reason };
  }
}

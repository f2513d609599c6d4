/** Decides for each task of an adopted job whether to place it, await it or end it. */
import {
  type TaskOutcome,
  TaskOutcomeKind,
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

/** Evidence of one witness; undefined when the witness could not be reached. */
export interface WitnessReport {
  readonly witness: TargetIdentity;
  readonly evidence: JobEvidence | undefined;
}

/** A task that has already ended. */
export interface EndedTask {
  readonly taskId: TaskId;
  readonly outcome: TaskOutcome;
}

/** The tasks of an adopted job that have ended, and plans for the others. */
export interface AdoptionPlan {
  readonly ended: readonly EndedTask[];
  readonly plans: readonly TaskPlan[];
}

/**
 * Plans the adoption of a job. A task is placed only when every witness rules out
 * that the task started there; a witness that does not reply rules out nothing.
 * `received` holds the results that arrived while the witnesses were queried.
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
    if ('outcome' in plan) {
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
  return { taskId, outcome: composeOutcome(result) };
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
    if (result !== undefined)
      return { taskId, outcome: composeOutcome(result) };
    if (evidence?.forgotten.some(one => one.taskId === taskId) !== true) {
      continue;
    }
    const reason = `Target ${witness.targetId} ran the task but no longer keeps the answer.`;
    return { taskId, outcome: { kind: TaskOutcomeKind.Failed, reason } };
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
    const reason = `The task may have been started on target ${inconclusive.witness.targetId}, which can no longer rule it out.`;
    return { taskId, outcome: { kind: TaskOutcomeKind.Unknown, reason } };
  }
  if (!grant.finished) return { kind: TaskPlanKind.Place, taskId };
  const reason =
    'The job was already answered, but the answer is no longer kept.';
  return { taskId, outcome: { kind: TaskOutcomeKind.Unknown, reason } };
}

/** Whether the witness remembers every start since the first claim of the job. */
function canRuleOutStart(
  { evidence }: WitnessReport,
  grant: ClaimGranted,
): boolean {
  if (evidence === undefined) return false;
  return evidence.rememberedMilliseconds >= grant.ageMilliseconds;
}

function composeOutcome(result: AttemptResult): TaskOutcome {
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      return { kind: TaskOutcomeKind.Answered, answer: result.answer };
    case AttemptOutcome.Failed:
      return { kind: TaskOutcomeKind.Failed, reason: result.reason };
    case AttemptOutcome.NotStarted:
      return { kind: TaskOutcomeKind.NotStarted, reason: result.reason };
  }
}

/** Checks how many times, on which target and when tasks were started. */
import {
  AttemptOutcome,
  type DecisionKind,
  type JobId,
  type TaskId,
} from '@cranberryturn/types';

import type { StartCount } from '@cranberryturn/stand-ins';
import {
  type DecisionIndex,
  composeTaskKey,
  type RecordOf,
} from './index-decisions.js';
import {
  type CheckOptions,
  type Violation,
  ViolationKind,
} from './violation.js';

type StartedRecord = RecordOf<DecisionKind.Started>;

/** Finds repeated starts, starts missing from the logs, wrong not-started outcomes, and starts on leaving targets. */
export function checkStarts(
  index: DecisionIndex,
  options: CheckOptions,
): Violation[] {
  return [
    ...checkRecordedStarts(index, options),
    ...checkCountedStarts(index, options),
    ...checkNotStartedOutcomes(index),
    ...checkLeavingTargets(index, options),
  ];
}

function checkRecordedStarts(
  index: DecisionIndex,
  options: CheckOptions,
): Violation[] {
  return [...index.startsOfTask.values()].flatMap(starts => {
    const [first] = starts;
    if (first === undefined || starts.length < 2) return [];
    if (isRepeatAllowed(index, starts, options)) return [];
    const locations = starts.map(
      start =>
        `${start.target}/${start.incarnation} attempt ${String(start.attempt)} epoch ${String(start.epoch)}`,
    );
    const detail = `was started ${String(starts.length)} times: ${locations.join(', ')}`;
    return [createRepeatViolation(first.idempotent, first, detail)];
  });
}

function isRepeatAllowed(
  index: DecisionIndex,
  starts: readonly StartedRecord[],
  options: CheckOptions,
): boolean {
  if (!options.canRepeatIdempotentTasks) return false;
  const idempotent = starts.every(start => isIdempotent(index, start));
  const attempts = new Set(
    starts.map(start => `${String(start.epoch)}/${String(start.attempt)}`),
  );
  return idempotent && attempts.size === starts.length;
}

function isIdempotent(index: DecisionIndex, start: StartedRecord): boolean {
  return index.admitted.get(start.jobId)?.idempotent ?? start.idempotent;
}

function checkCountedStarts(
  index: DecisionIndex,
  options: CheckOptions,
): Violation[] {
  const sums = sumStartsByTask(options.startCounts ?? []);
  return [...sums].flatMap(([name, count]) => {
    const recorded = index.startsOfTask.get(name) ?? [];
    const [first] = recorded;
    if (first === undefined || count.starts > recorded.length) {
      return [
        {
          kind: ViolationKind.UnrecordedStart,
          subject: describeTask(count),
          detail: `targets counted ${String(count.starts)} starts, the logs record ${String(recorded.length)}`,
        },
      ];
    }
    if (count.starts < 2 || isRepeatAllowed(index, recorded, options))
      return [];
    const detail = `targets counted ${String(count.starts)} starts`;
    return [createRepeatViolation(isIdempotent(index, first), count, detail)];
  });
}

function sumStartsByTask(
  counts: readonly StartCount[],
): Map<string, StartCount> {
  const sums = new Map<string, StartCount>();
  for (const count of counts) {
    const name = composeTaskKey(count.jobId, count.taskId);
    const before = sums.get(name)?.starts ?? 0;
    sums.set(name, { ...count, starts: before + count.starts });
  }
  return sums;
}

function createRepeatViolation(
  idempotent: boolean,
  task: { readonly jobId: JobId; readonly taskId: TaskId },
  detail: string,
): Violation {
  const kind = idempotent
    ? ViolationKind.DoubleStart
    : ViolationKind.NonIdempotentRepeat;
  return { kind, subject: describeTask(task), detail };
}

function checkNotStartedOutcomes(index: DecisionIndex): Violation[] {
  return index.ended.flatMap(end => {
    if (end.outcome !== AttemptOutcome.NotStarted) return [];
    const starts =
      index.startsOfTask.get(composeTaskKey(end.jobId, end.taskId)) ?? [];
    const start = starts.find(
      one =>
        one.attempt === end.attempt &&
        one.epoch === end.epoch &&
        one.target === end.target,
    );
    if (start === undefined) return [];
    return [
      {
        kind: ViolationKind.FalseNotStarted,
        subject: describeTask(end),
        detail: `attempt ${String(end.attempt)} was started on ${end.target} and reported as not started`,
      },
    ];
  });
}

function checkLeavingTargets(
  index: DecisionIndex,
  options: CheckOptions,
): Violation[] {
  const leavingSince = new Map<string, number>();
  for (const record of index.leaving) {
    const run = `${record.target}/${record.incarnation}`;
    leavingSince.set(
      run,
      Math.min(record.at, leavingSince.get(run) ?? Infinity),
    );
  }
  return index.started.flatMap(start => {
    const leavingAt = leavingSince.get(`${start.target}/${start.incarnation}`);
    if (leavingAt === undefined) return [];
    const delay = start.at - leavingAt;
    if (delay <= options.leavingBoundMilliseconds) return [];
    return [
      {
        kind: ViolationKind.StartOnLeavingTarget,
        subject: start.target,
        detail: `started ${describeTask(start)} ${String(Math.round(delay))} ms after the target began to leave`,
      },
    ];
  });
}

function describeTask(task: {
  readonly jobId: JobId;
  readonly taskId: TaskId;
}): string {
  return `job ${task.jobId} task ${task.taskId}`;
}

/** Checks limits on concurrency and on starts per second across all processes. */
import type { JobId, Milliseconds } from '@cranberryturn/types';

import { type DecisionIndex, composeTaskKey } from './index-decisions.js';
import {
  type CheckedLimit,
  LimitScope,
  type Violation,
  ViolationKind,
} from './violation.js';

const windowMilliseconds: Milliseconds = 1_000;

interface ConcurrencyChange {
  readonly at: Milliseconds;
  readonly change: 1 | -1;
}

/** Finds limits that were exceeded by more than their slack. */
export function checkLimits(
  index: DecisionIndex,
  limits: readonly CheckedLimit[],
): Violation[] {
  return limits.flatMap(limit => [
    ...checkConcurrency(index, limit),
    ...checkStartRate(index, limit),
  ]);
}

function checkConcurrency(
  index: DecisionIndex,
  limit: CheckedLimit,
): Violation[] {
  if (limit.concurrency === undefined) return [];
  const peak = findPeak(listConcurrencyChanges(index, limit));
  const allowed = limit.concurrency * (1 + limit.slack);
  if (peak <= allowed) return [];
  return [
    createOverrunViolation(
      limit,
      `${String(peak)} tasks ran concurrently, the limit is ${String(limit.concurrency)}`,
    ),
  ];
}

function listConcurrencyChanges(
  index: DecisionIndex,
  limit: CheckedLimit,
): ConcurrencyChange[] {
  const open = new Map<string, number>();
  const changes: ConcurrencyChange[] = [];
  for (const start of index.started) {
    if (!isCovered(index, limit, start.jobId)) continue;
    changes.push({ at: start.at, change: 1 });
    const name = composeTaskKey(start.jobId, start.taskId);
    open.set(name, (open.get(name) ?? 0) + 1);
  }
  for (const end of index.ended) {
    const name = composeTaskKey(end.jobId, end.taskId);
    const left = open.get(name) ?? 0;
    if (left === 0) continue;
    open.set(name, left - 1);
    changes.push({ at: end.at, change: -1 });
  }
  return changes;
}

function findPeak(changes: ConcurrencyChange[]): number {
  // At equal times, an end frees the slot before a start takes one.
  changes.sort((a, b) => a.at - b.at || a.change - b.change);
  let running = 0;
  let peak = 0;
  for (const { change } of changes) {
    running += change;
    peak = Math.max(peak, running);
  }
  return peak;
}

function checkStartRate(
  index: DecisionIndex,
  limit: CheckedLimit,
): Violation[] {
  if (limit.startsPerSecond === undefined) return [];
  const times = index.started
    .filter(start => isCovered(index, limit, start.jobId))
    .map(start => start.at);
  const maximum = findMaximumInWindow(times);
  if (maximum <= limit.startsPerSecond * (1 + limit.slack)) return [];
  return [
    createOverrunViolation(
      limit,
      `${String(maximum)} starts in one second, the limit is ${String(limit.startsPerSecond)}`,
    ),
  ];
}

function findMaximumInWindow(times: readonly Milliseconds[]): number {
  let first = 0;
  let maximum = 0;
  times.forEach((time, last) => {
    while (time - (times[first] ?? time) >= windowMilliseconds) first += 1;
    maximum = Math.max(maximum, last - first + 1);
  });
  return maximum;
}

function isCovered(
  index: DecisionIndex,
  limit: CheckedLimit,
  jobId: JobId,
): boolean {
  const job = index.admitted.get(jobId);
  switch (limit.scope) {
    case LimitScope.Service:
      return job?.service === limit.name;
    case LimitScope.Team:
      return job?.team === limit.name;
  }
}

function createOverrunViolation(
  limit: CheckedLimit,
  detail: string,
): Violation {
  return {
    kind: ViolationKind.LimitOverrun,
    subject: `${limit.scope} ${limit.name}`,
    detail,
  };
}

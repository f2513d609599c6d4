/**
 * Decides under scarcity whether a job is admitted that has to wait, and when its caller should return.
 * Pure: equal inputs give equal answers at every dispatcher.
 */
import type { Milliseconds } from '@cranberryturn/types';

import type { QueueShares } from './queue-arrivals.js';
import type { ScarcitySettings } from './scarcity-settings.js';

/** The rule that admitted or refused a job. */
export enum ScarcityRule {
  /** All tasks of the job can start at once. */
  AtOnce = 'at-once',
  /** The job is expected to end within its objective. */
  InTime = 'in-time',
  /** The caller returned after the time named in its refusal. */
  Returned = 'returned',
  /** The queue was admitted less than its floor lately. */
  QueueFloor = 'queue-floor',
  /** The wide jobs of the queue were admitted less than their floor lately. */
  WideFloor = 'wide-floor',
  /** The job gets capacity that no other queue uses, and is expected to end while it is of use. */
  LeftOver = 'left-over',
  /** Refused: the job would end after its objective, and no floor admits it. */
  TooLate = 'too-late',
}

/** A job and its queue, as the decision needs them. */
export interface ScarcityRequest {
  /** Whether all tasks can start at once. */
  readonly startsAtOnce: boolean;
  /** Expected time from the arrival of the request to the end of the job. */
  readonly expectedMilliseconds: Milliseconds;
  /** The same for a job that every other one overtakes. */
  readonly leftOverMilliseconds: Milliseconds;
  readonly objectiveMilliseconds: Milliseconds;
  readonly deadlineMilliseconds: Milliseconds;
  /** Number from 0 to 1 that depends on the job identifier only. */
  readonly draw: number;
  /** Whether the job has more tasks than those of its queue have on average. */
  readonly isWide: boolean;
  readonly hasReturned: boolean;
  /** Whether jobs could not end in time within the hold time of scarcity. */
  readonly isScarce: boolean;
  readonly shares: QueueShares;
  /** Share of the best-served queue of the service. */
  readonly bestShare: number;
  readonly priority: number;
}

/** What was decided, and by which rule. */
export interface ScarcityDecision {
  readonly isAdmitted: boolean;
  readonly rule: ScarcityRule;
  /** Smallest share of the queue that is kept. */
  readonly floor: number;
  /** When a refused caller should return. */
  readonly retryAfterMilliseconds: Milliseconds;
}

const minimumRetryMilliseconds: Milliseconds = 200;
const maximumRetryMilliseconds: Milliseconds = 30_000;
/** Callers of the most urgent priority return within this time after capacity is expected; each further priority takes as long again. */
const retrySpreadMilliseconds: Milliseconds = 1_000;

/** Decides about one job. */
export function decideScarcity(
  request: ScarcityRequest,
  settings: ScarcitySettings,
): ScarcityDecision {
  const floor = request.bestShare * settings.floorShare;
  const rule = chooseRule(request, floor, settings);
  return {
    isAdmitted: rule !== ScarcityRule.TooLate,
    rule,
    floor,
    retryAfterMilliseconds: chooseRetryTime(request),
  };
}

function chooseRule(
  request: ScarcityRequest,
  floor: number,
  settings: ScarcitySettings,
): ScarcityRule {
  const { draw, shares } = request;
  const endsWithin = (factor: number): boolean =>
    request.expectedMilliseconds <=
    Math.min(
      request.deadlineMilliseconds,
      request.objectiveMilliseconds * factor,
    );
  if (request.startsAtOnce) return ScarcityRule.AtOnce;
  if (endsWithin(1)) return ScarcityRule.InTime;
  if (request.hasReturned && endsWithin(settings.returnEndFactor))
    return ScarcityRule.Returned;
  const wideFloor = shares.share * settings.wideJobShare;
  if (request.isScarce && endsWithin(settings.floorEndFactor)) {
    if (shares.share < floor && draw < floor) return ScarcityRule.QueueFloor;
    if (request.isWide && shares.wideShare < wideFloor && draw < wideFloor)
      return ScarcityRule.WideFloor;
  }
  const latestUseful = Math.min(
    request.deadlineMilliseconds,
    request.objectiveMilliseconds * settings.leftOverEndFactor,
  );
  return request.leftOverMilliseconds <= latestUseful
    ? ScarcityRule.LeftOver
    : ScarcityRule.TooLate;
}

/** Spreads the callers over a time that begins when the job could end in time, urgent ones over a shorter time. */
function chooseRetryTime({
  expectedMilliseconds,
  objectiveMilliseconds,
  draw,
  priority,
}: ScarcityRequest): Milliseconds {
  const overrun = Math.max(0, expectedMilliseconds - objectiveMilliseconds);
  const spread = draw * retrySpreadMilliseconds * (1 + priority);
  return Math.min(
    maximumRetryMilliseconds,
    Math.max(minimumRetryMilliseconds, Math.round(overrun + spread)),
  );
}

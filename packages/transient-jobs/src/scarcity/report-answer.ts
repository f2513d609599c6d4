/** Counts and logs what was decided about a job under scarcity, for operators. */
import type { Logger } from '@cranberryturn/logger';
import { type Metrics, QueueEvent, QueueValue } from '@cranberryturn/metrics';
import type { Milliseconds, QueueName } from '@cranberryturn/types';

import type { TransientJob } from '../transient-job.js';
import { type ScarcityDecision, ScarcityRule } from './decide-scarcity.js';
import type { QueueShares } from './queue-arrivals.js';

/** A decision with the inputs that operators need to understand it. */
export interface ScarcityAnswer extends ScarcityDecision, QueueShares {
  readonly queue: QueueName;
  readonly priority: number;
  readonly expectedMilliseconds: Milliseconds;
  readonly objectiveMilliseconds: Milliseconds;
  /** Age of the oldest load report that counts. */
  readonly ageMilliseconds: Milliseconds;
  readonly workersLeftOut: number;
}

/** Counts a decision by queue, and logs one that does not admit the job in its turn. */
export function reportAnswer(
  { logger, metrics }: { readonly logger: Logger; readonly metrics: Metrics },
  { requestId, jobId }: TransientJob,
  answer: ScarcityAnswer,
): void {
  const { queue, isAdmitted } = answer;
  metrics.queues.count(queue, QueueEvent.Offered);
  metrics.queues.count(queue, chooseEvent(answer.rule));
  metrics.queues.set(queue, QueueValue.AdmittedShare, answer.share);
  metrics.queues.set(queue, QueueValue.FloorShare, answer.floor);
  metrics.queues.set(
    queue,
    QueueValue.InputAgeMilliseconds,
    answer.ageMilliseconds,
  );
  if (isAdmitted && answer.rule !== ScarcityRule.LeftOver) return;
  logger.info(
    isAdmitted
      ? 'job gets left-over capacity only'
      : 'job does not get scarce capacity',
    { requestId, jobId, ...answer },
  );
}

function chooseEvent(rule: ScarcityRule): QueueEvent {
  switch (rule) {
    case ScarcityRule.LeftOver:
      return QueueEvent.LeftOver;
    case ScarcityRule.TooLate:
      return QueueEvent.RefusedTooLate;
    case ScarcityRule.AtOnce:
    case ScarcityRule.InTime:
    case ScarcityRule.Returned:
    case ScarcityRule.QueueFloor:
    case ScarcityRule.WideFloor:
      return QueueEvent.Admitted;
  }
}

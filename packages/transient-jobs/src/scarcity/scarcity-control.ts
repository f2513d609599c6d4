/** Admission under scarcity at one dispatcher: keeps what the decision needs between jobs. */
import type { Logger } from '@cranberryturn/logger';
import { type Metrics, QueueEvent } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  QueueConfiguration,
  QueueName,
  ServiceName,
} from '@cranberryturn/types';

import { computeObjective } from '../decide-admission.js';
import type { KnownWorker } from '../known-worker.js';
import type { TransientJob } from '../transient-job.js';
import { decideScarcity } from './decide-scarcity.js';
import { drawFromHash } from './hash-draw.js';
import { QueueArrivals } from './queue-arrivals.js';
import { reportAnswer, type ScarcityAnswer } from './report-answer.js';
import { ReturningCallers } from './returning-callers.js';
import {
  defaultScarcitySettings,
  type ScarcitySettings,
} from './scarcity-settings.js';
import {
  computeUrgentShare,
  reportedPriorities,
  type ServiceState,
  summarizeService,
} from './service-state.js';

/** Time for which a summary is used again: a sum over 1,600 workers for each job would cost as much as its placement. */
const summaryMilliseconds: Milliseconds = 50;

/** Priority of the orders of a job that only gets left-over capacity: the least urgent that load reports name. */
export const leftOverPriority = reportedPriorities - 1;

interface ServiceEntry {
  readonly state: ServiceState;
  readonly summarizedAt: Milliseconds;
  readonly queues: Map<QueueName, QueueArrivals>;
  /** Share of the best-served queue. */
  readonly bestShare: number;
}

/** A job whose tasks all have a worker, with its expected times. */
export interface PlannedJob {
  readonly job: TransientJob;
  readonly criticalPathMilliseconds: Milliseconds;
  /** Longest expected queue wait of a task, without work that arrives later. */
  readonly waitMilliseconds: Milliseconds;
  readonly startsAtOnce: boolean;
}

/** Dependencies of admission under scarcity. */
export interface ScarcityControlOptions {
  /** Settings; the defaults where undefined. */
  readonly scarcity?: ScarcitySettings | undefined;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Admission under scarcity at one dispatcher. */
export class ScarcityControl {
  readonly #services = new Map<ServiceName, ServiceEntry>();
  readonly #returning: ReturningCallers;
  readonly #options: ScarcityControlOptions;
  readonly #settings: ScarcitySettings;
  #isScarce = false;
  /** When a job last could not end in time. */
  #lastScarceAt: Milliseconds = 0;

  constructor(options: ScarcityControlOptions) {
    this.#options = options;
    this.#settings = options.scarcity ?? defaultScarcitySettings;
    this.#returning = new ReturningCallers(options.timers);
  }

  /** Decides about a job, and counts it. */
  decide(planned: PlannedJob, workers: Iterable<KnownWorker>): ScarcityAnswer {
    const { job, criticalPathMilliseconds } = planned;
    const { queue, jobId } = job;
    const now = this.#options.timers.now();
    const entry = this.#findService(queue.service, workers, now);
    const arrivals = findArrivals(entry, queue);
    const tasks = job.steps.reduce((sum, step) => sum + step.tasks, 0);
    const objectiveMilliseconds = computeObjective(
      queue,
      criticalPathMilliseconds,
    );
    const expectedMilliseconds = estimateEnd(
      planned,
      computeUrgentShare(entry.state, queue.priority),
    );
    const leftOverMilliseconds = estimateEnd(
      planned,
      computeUrgentShare(entry.state, leftOverPriority),
    );
    this.#updateScarcity(
      !planned.startsAtOnce && expectedMilliseconds > objectiveMilliseconds,
      now,
    );
    const shares = arrivals.readShares(now);
    const decision = decideScarcity(
      {
        startsAtOnce: planned.startsAtOnce,
        expectedMilliseconds,
        leftOverMilliseconds,
        objectiveMilliseconds,
        deadlineMilliseconds: job.deadlineMilliseconds,
        draw: drawFromHash(jobId),
        isWide: arrivals.isWide(tasks),
        hasReturned: this.#returning.hasReturned(jobId),
        isScarce: this.#isScarce,
        shares,
        bestShare: entry.bestShare,
        priority: queue.priority,
      },
      this.#settings,
    );
    arrivals.record(tasks, decision.isAdmitted, now);
    if (!decision.isAdmitted)
      this.#returning.recordRefusal(jobId, decision.retryAfterMilliseconds);
    const answer: ScarcityAnswer = {
      isAdmitted: decision.isAdmitted,
      rule: decision.rule,
      floor: decision.floor,
      retryAfterMilliseconds: decision.retryAfterMilliseconds,
      share: shares.share,
      wideShare: shares.wideShare,
      queue: queue.queue,
      priority: queue.priority,
      expectedMilliseconds,
      objectiveMilliseconds,
      ageMilliseconds: entry.state.ageMilliseconds + now - entry.summarizedAt,
      workersLeftOut: entry.state.leftOut,
    };
    reportAnswer(this.#options, job, answer);
    return answer;
  }

  /** Counts a job that no worker can take, or for which none is known. */
  countWithoutWorker({ queue }: TransientJob): void {
    const { queues } = this.#options.metrics;
    queues.count(queue.queue, QueueEvent.Offered);
    queues.count(queue.queue, QueueEvent.RefusedNoWorker);
  }

  /** Scarcity begins with a job that cannot end in time and ends after the hold time, so that waves of load do not switch it. */
  #updateScarcity(isLate: boolean, now: Milliseconds): void {
    if (isLate) this.#lastScarceAt = now;
    const isScarce =
      isLate ||
      (this.#isScarce &&
        now - this.#lastScarceAt < this.#settings.holdMilliseconds);
    if (isScarce === this.#isScarce) return;
    this.#isScarce = isScarce;
    this.#options.logger.warn(
      isScarce ? 'capacity is scarce' : 'capacity is sufficient',
    );
  }

  #findService(
    service: ServiceName,
    workers: Iterable<KnownWorker>,
    now: Milliseconds,
  ): ServiceEntry {
    const known = this.#services.get(service);
    if (known !== undefined && now - known.summarizedAt < summaryMilliseconds)
      return known;
    const { maximumReportAgeMilliseconds } = this.#settings;
    const queues = known?.queues ?? new Map<QueueName, QueueArrivals>();
    const entry: ServiceEntry = {
      state: summarizeService(workers, maximumReportAgeMilliseconds, now),
      summarizedAt: now,
      queues,
      bestShare: findBestShare(queues, now),
    };
    this.#services.set(service, entry);
    return entry;
  }
}

/** Expected time from the arrival of the request to the end: more urgent work that arrives later overtakes the job. */
function estimateEnd(
  { job, criticalPathMilliseconds, waitMilliseconds }: PlannedJob,
  urgentShare: number,
): Milliseconds {
  const wait = Math.max(0, waitMilliseconds) / (1 - urgentShare);
  return job.heldMilliseconds + wait + criticalPathMilliseconds;
}

function findArrivals(
  { queues }: ServiceEntry,
  { queue }: QueueConfiguration,
): QueueArrivals {
  const known = queues.get(queue);
  if (known !== undefined) return known;
  const arrivals = new QueueArrivals();
  queues.set(queue, arrivals);
  return arrivals;
}

/** A service without queues so far has a best share of 1. */
function findBestShare(
  queues: ReadonlyMap<QueueName, QueueArrivals>,
  now: Milliseconds,
): number {
  if (queues.size === 0) return 1;
  let best = 0;
  for (const arrivals of queues.values())
    best = Math.max(best, arrivals.readShares(now).share);
  return best;
}

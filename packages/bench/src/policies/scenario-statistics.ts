/** Counts jobs, messages and response times of a scenario. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { Violation } from '../checker/violation.js';
import { quantile } from '../results/statistics.js';

/** Figures of one scenario with one policy. */
export interface ScenarioResult {
  /** Median of response time over ideal response time, over the answered jobs. */
  readonly p50: number;
  readonly p99: number;
  readonly answered: number;
  readonly failed: number;
  readonly refused: number;
  /** Jobs that were admitted and had no outcome at the end of the run. */
  readonly open: number;
  readonly messages: number;
  /** Share of messages beyond the two (start and report) of each useful attempt. */
  readonly wastedShare: number;
  readonly messagesPerTask: number;
  /** Tasks that were started more than once. */
  readonly doubleStarts: number;
  /** Violations found by the checker of decision logs. */
  readonly violations: readonly Violation[];
}

interface OpenJob {
  readonly submittedAt: Milliseconds;
  readonly idealMilliseconds: Milliseconds;
  readonly tasks: number;
  openTasks: number;
  failed: boolean;
}

/** The start and its report. */
const messagesPerUsefulAttempt = 2;

/** Counts jobs, messages and response times of a scenario. */
export class ScenarioStatistics {
  readonly #timers: TimerService;
  readonly #networkMilliseconds: Milliseconds;
  readonly #openJobs = new Map<string, OpenJob>();
  readonly #responseRatios: number[] = [];
  #answeredAttempts = 0;
  #answeredTasks = 0;
  #messages = 0;
  #failed = 0;
  #refused = 0;

  constructor(timers: TimerService, networkMilliseconds: Milliseconds) {
    this.#timers = timers;
    this.#networkMilliseconds = networkMilliseconds;
  }

  jobSubmitted(jobId: string, tasks: number, longestRun: Milliseconds): void {
    this.#openJobs.set(jobId, {
      submittedAt: this.#timers.now(),
      idealMilliseconds: longestRun + this.#networkMilliseconds,
      tasks,
      openTasks: tasks,
      failed: false,
    });
  }

  jobRefused(jobId: string): void {
    this.#openJobs.delete(jobId);
    this.#refused += 1;
  }

  taskEnded(jobId: string, answered: boolean): void {
    const job = this.#openJobs.get(jobId);
    if (job === undefined) return;
    job.openTasks -= 1;
    if (!answered) job.failed = true;
    if (job.openTasks > 0) return;
    this.#openJobs.delete(jobId);
    if (job.failed) {
      this.#failed += 1;
      return;
    }
    const response = this.#timers.now() - job.submittedAt;
    this.#responseRatios.push(response / job.idealMilliseconds);
    this.#answeredTasks += job.tasks;
  }

  startSent(): void {
    this.#messages += 1;
  }

  cancelSent(): void {
    this.#messages += 1;
  }

  reportSent(answered: boolean): void {
    this.#messages += 1;
    if (answered) this.#answeredAttempts += 1;
  }

  /** Identifiers of the jobs that have not ended. */
  listOpen(): readonly string[] {
    return [...this.#openJobs.keys()];
  }

  summarize(
    starts: readonly ReadonlyMap<string, number>[],
    violations: readonly Violation[],
  ): ScenarioResult {
    const ratios = [...this.#responseRatios].sort(
      (left, right) => left - right,
    );
    const useful = Math.min(this.#answeredAttempts, this.#answeredTasks);
    const wasted = this.#messages - useful * messagesPerUsefulAttempt;
    return {
      p50: quantile(ratios, 0.5),
      p99: quantile(ratios, 0.99),
      answered: ratios.length,
      failed: this.#failed,
      refused: this.#refused,
      open: this.#openJobs.size,
      messages: this.#messages,
      wastedShare: wasted / Math.max(1, this.#messages),
      messagesPerTask: this.#messages / Math.max(1, this.#answeredTasks),
      doubleStarts: countDoubleStarts(starts),
      violations,
    };
  }
}

function countDoubleStarts(
  starts: readonly ReadonlyMap<string, number>[],
): number {
  const total = new Map<string, number>();
  for (const one of starts) {
    for (const [task, count] of one)
      total.set(task, (total.get(task) ?? 0) + count);
  }
  let doubled = 0;
  for (const count of total.values()) if (count > 1) doubled += 1;
  return doubled;
}

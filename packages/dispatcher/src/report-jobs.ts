/** Reports the progress of jobs in decision lines and metrics. */
import {
  Counter,
  Distribution,
  type Metrics,
  WastedMessage,
} from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import {
  type ClaimGranted,
  DecisionKind,
  type DecisionSink,
  type DispatcherId,
  JobOutcome,
  type JobResult,
  Started,
} from '@cranberryturn/types';

import type { RunningJob } from './running-job.js';

/** Destinations of the reports. */
export interface JobReporterOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly decisions: DecisionSink;
}

/** Writes decision lines and metrics for the jobs of one dispatcher. */
export class JobReporter {
  readonly #options: JobReporterOptions;

  constructor(options: JobReporterOptions) {
    this.#options = options;
  }

  reportAdmitted(job: RunningJob): void {
    const { jobId, service, team, idempotent, tasks } = job.request;
    this.#options.metrics.count(Counter.JobsAdmitted);
    this.#options.decisions(
      {
        kind: DecisionKind.Admitted,
        jobId,
        service,
        team,
        tasks: tasks.length,
        idempotent,
      },
      job.requestId,
    );
  }

  reportRefused(job: RunningJob, reason: string): void {
    const { jobId, service, team } = job.request;
    this.#options.metrics.count(Counter.JobsRefused);
    this.#options.decisions(
      { kind: DecisionKind.Refused, jobId, service, team, reason },
      job.requestId,
    );
  }

  reportClaimed(job: RunningJob, grant: ClaimGranted): void {
    this.#options.decisions(
      {
        kind: DecisionKind.Claimed,
        jobId: job.request.jobId,
        owner: this.#options.dispatcherId,
        epoch: grant.epoch,
      },
      job.requestId,
    );
  }

  reportCancelled(): void {
    this.#options.metrics.count(Counter.JobsCancelled);
  }

  /** Counts an answer that arrived after its job had ended. */
  reportLateAnswer(): void {
    this.#options.metrics.countWasted(WastedMessage.LateAnswer);
  }

  reportReplied(job: RunningJob, result: JobResult): void {
    const { metrics, decisions } = this.#options;
    const isComplete = result.outcome === JobOutcome.Complete;
    metrics.count(isComplete ? Counter.JobsCompleted : Counter.JobsFailed);
    this.#recordResponseTime(job);
    decisions(
      {
        kind: DecisionKind.Replied,
        jobId: job.request.jobId,
        outcome: result.outcome,
        started: isComplete ? Started.Yes : result.started,
        answered: isComplete ? result.answers.map(one => one.taskId) : [],
        asked: job.request.tasks.length,
      },
      job.requestId,
    );
  }

  #recordResponseTime(job: RunningJob): void {
    const { timers, metrics } = this.#options;
    const responseMilliseconds = timers.now() - job.arrivedAt;
    const { service } = job.request;
    metrics.record(
      Distribution.ResponseMilliseconds,
      responseMilliseconds,
      service,
    );
    if (job.longestRunMilliseconds <= 0) return;
    const ratio = responseMilliseconds / job.longestRunMilliseconds;
    metrics.record(Distribution.ResponseOverIdeal, ratio, service);
  }
}

/** Records the decisions of one scenario for the invariant checker. */
import type { TimerService } from '@cranberryturn/timers';
import {
  type Decision,
  DecisionKind,
  type DecisionRecord,
  JobOutcome,
  type JobRequest,
  Started,
  type TaskId,
} from '@cranberryturn/types';

import { checkDecisions } from '../checker/check-decisions.js';
import { defaultCheckOptions, type Violation } from '../checker/violation.js';

interface LoggedJob {
  readonly tasks: number;
  readonly answered: TaskId[];
  ended: number;
  mayHaveStarted: boolean;
}

/** Collects the decisions of dispatchers and targets. */
export class ScenarioLog {
  readonly #timers: TimerService;
  readonly #records: DecisionRecord[] = [];
  readonly #jobs = new Map<string, LoggedJob>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  record(process: string, decision: Decision): void {
    this.#records.push({ at: this.#timers.now(), process, ...decision });
  }

  jobAdmitted(process: string, request: JobRequest): void {
    const { jobId, service, team, tasks, idempotent } = request;
    const mayHaveStarted = false;
    this.#jobs.set(jobId, {
      tasks: tasks.length,
      answered: [],
      ended: 0,
      mayHaveStarted,
    });
    this.record(process, {
      kind: DecisionKind.Admitted,
      jobId,
      service,
      team,
      tasks: tasks.length,
      idempotent,
    });
  }

  jobRefused(process: string, request: JobRequest): void {
    const { jobId, service, team } = request;
    const reason = 'refused';
    const kind = DecisionKind.Refused;
    this.record(process, { kind, jobId, service, team, reason });
  }

  /** Records the outcome of a task; the last task of a job also records the reply. */
  taskEnded(
    process: string,
    jobId: string,
    taskId: TaskId,
    answered: boolean,
    started: Started,
  ): void {
    const job = this.#jobs.get(jobId);
    if (job === undefined) return;
    job.ended += 1;
    if (answered) job.answered.push(taskId);
    if (started !== Started.No) job.mayHaveStarted = true;
    if (job.ended < job.tasks) return;
    this.#jobs.delete(jobId);
    const complete = job.answered.length === job.tasks;
    this.record(process, {
      kind: DecisionKind.Replied,
      jobId,
      outcome: complete ? JobOutcome.Complete : JobOutcome.Failed,
      started: job.mayHaveStarted ? Started.Perhaps : Started.No,
      answered: complete ? job.answered : [],
      asked: job.tasks,
    });
  }

  /** Returns the violated invariants. */
  check(): readonly Violation[] {
    return checkDecisions(this.#records, defaultCheckOptions);
  }
}

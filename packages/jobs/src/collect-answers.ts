/** Collects the outcomes of the tasks of one job into its result. */
import {
  mayHaveStarted,
  type TaskOutcome,
  TaskOutcomeKind,
} from '@cranberryturn/scheduling';
import {
  type JobId,
  JobOutcome,
  type JobResult,
  type JsonText,
  Started,
  type TaskAnswer,
  type TaskId,
} from '@cranberryturn/types';

/** The task outcomes of one job. The job is complete once every task has ended. */
export class AnswerCollection {
  readonly #jobId: JobId;
  readonly #taskIds: readonly TaskId[];
  readonly #answers = new Map<TaskId, JsonText>();
  readonly #ended = new Set<TaskId>();
  #started = Started.No;
  #failure: string | undefined;

  constructor(jobId: JobId, taskIds: readonly TaskId[]) {
    this.#jobId = jobId;
    this.#taskIds = taskIds;
  }

  /** Reason of the first failure; undefined while nothing has failed. */
  get failure(): string | undefined {
    return this.#failure;
  }

  /** Records how a task ended. Only the first outcome of a task counts. */
  recordOutcome(taskId: TaskId, outcome: TaskOutcome): void {
    if (this.#ended.has(taskId)) return;
    this.#ended.add(taskId);
    this.#started = combineStarted(this.#started, mayHaveStarted(outcome));
    if (outcome.kind === TaskOutcomeKind.Answered) {
      this.#answers.set(taskId, outcome.answer);
      return;
    }
    this.#failure ??= `Task "${taskId}": ${outcome.reason}`;
  }

  /** Fails the job for a reason that concerns no single task. An earlier reason is kept. */
  recordFailure(reason: string, started: Started): void {
    this.#failure ??= reason;
    this.#started = combineStarted(this.#started, started);
  }

  /** Notes that the tasks may have been started elsewhere. A job that was started here stays one. */
  recordUncertainty(): void {
    this.#started = combineStarted(this.#started, Started.Perhaps);
  }

  /** Whether every task has ended. */
  get isComplete(): boolean {
    return this.#ended.size >= this.#taskIds.length;
  }

  /** Composes the result: complete when every task was answered and nothing failed, otherwise failed. */
  composeResult(deadlinePassed: boolean): JobResult {
    const answers = this.#composeAnswers();
    if (this.#failure === undefined && answers !== undefined) {
      return { jobId: this.#jobId, outcome: JobOutcome.Complete, answers };
    }
    return {
      jobId: this.#jobId,
      outcome: JobOutcome.Failed,
      reason: this.#failure ?? 'Not every task was answered.',
      started: this.#started,
      deadlinePassed,
    };
  }

  #composeAnswers(): readonly TaskAnswer[] | undefined {
    const answers: TaskAnswer[] = [];
    for (const taskId of this.#taskIds) {
      const answer = this.#answers.get(taskId);
      if (answer === undefined) return undefined;
      answers.push({ taskId, answer });
    }
    return answers;
  }
}

/** Yes outweighs perhaps, and perhaps outweighs no. */
function combineStarted(left: Started, right: Started): Started {
  if (left === Started.Yes || right === Started.Yes) return Started.Yes;
  if (left === Started.Perhaps || right === Started.Perhaps) {
    return Started.Perhaps;
  }
  return Started.No;
}

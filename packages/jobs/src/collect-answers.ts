/** Collects the fates of the tasks of one job into a whole result. */
import {
  mayHaveStarted,
  type TaskFate,
  TaskFateKind,
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

/** Collects fates until every task has one. */
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

  /** Why the job has failed, once one task has ended without an answer. */
  get failure(): string | undefined {
    return this.#failure;
  }

  /** Records the fate of a task. Later fates of the same task are ignored. */
  recordFate(taskId: TaskId, fate: TaskFate): void {
    if (this.#ended.has(taskId)) return;
    this.#ended.add(taskId);
    this.#started = combineStarted(this.#started, mayHaveStarted(fate));
    if (fate.kind === TaskFateKind.Answered) {
      this.#answers.set(taskId, fate.answer);
      return;
    }
    this.#failure ??= `Task "${taskId}": ${fate.reason}`;
  }

  /** Marks the job as failed for a reason that concerns no single task. */
  recordFailure(reason: string, started: Started): void {
    this.#failure ??= reason;
    this.#started = combineStarted(this.#started, started);
  }

  /** Whether every task has a fate. */
  get isComplete(): boolean {
    return this.#ended.size >= this.#taskIds.length;
  }

  /** The result as far as it is known; failed unless every task was answered. */
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

function combineStarted(left: Started, right: Started): Started {
  if (left === Started.Yes || right === Started.Yes) return Started.Yes;
  if (left === Started.Perhaps || right === Started.Perhaps) {
    return Started.Perhaps;
  }
  return Started.No;
}

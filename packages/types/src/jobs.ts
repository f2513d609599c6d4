/** Jobs as submitted by callers, and their results. */
import type {
  JobId,
  JsonText,
  Milliseconds,
  ServiceName,
  TaskId,
  TeamName,
} from './identifiers.js';

/** Maximum number of tasks in one job. */
export const maximumTasksPerJob = 200;

/** Maximum size of the answer of one task. */
export const maximumAnswerBytes = 1_048_576;

/** Whether any task of a job was started; `Perhaps` if that is not known. */
export enum Started {
  No = 'no',
  Perhaps = 'perhaps',
  Yes = 'yes',
}

/** Outcome of a job. */
export enum JobOutcome {
  Complete = 'complete',
  Failed = 'failed',
}

/** Resources that the caller declares for a task. Often far from the actual usage. */
export interface DeclaredResources {
  readonly processors?: number | undefined;
  readonly memoryMebibytes?: number | undefined;
  readonly accelerators?: number | undefined;
  readonly runMilliseconds?: Milliseconds | undefined;
}

/** One task as submitted. */
export interface TaskRequest {
  readonly taskId: TaskId;
  readonly payload: JsonText;
  readonly declared?: DeclaredResources | undefined;
}

/** One job as submitted by a caller. */
export interface JobRequest {
  readonly jobId: JobId;
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly tasks: readonly TaskRequest[];
  readonly idempotent: boolean;
  /** Time that the caller allows from admission to the result. */
  readonly deadlineMilliseconds: Milliseconds;
}

/** The answer of one task. */
export interface TaskAnswer {
  readonly taskId: TaskId;
  readonly answer: JsonText;
}

/** Result of a job whose tasks were all answered; answers are in the order of the submitted tasks. */
export interface CompleteJobResult {
  readonly jobId: JobId;
  readonly outcome: JobOutcome.Complete;
  readonly answers: readonly TaskAnswer[];
}

/** Result of a job that failed as a whole; carries no answers. */
export interface FailedJobResult {
  readonly jobId: JobId;
  readonly outcome: JobOutcome.Failed;
  readonly reason: string;
  readonly started: Started;
  /** Whether the job failed because its deadline passed. */
  readonly deadlinePassed: boolean;
}

/** Result of a job. */
export type JobResult = CompleteJobResult | FailedJobResult;

import type {
  JobId,
  JsonText,
  Milliseconds,
  ServiceName,
  TaskId,
  TeamName,
} from './identifiers.js';

/** Largest number of tasks in one job. */
export const maximumTasksPerJob = 200;

/** Largest answer of one task in bytes. */
export const maximumAnswerBytes = 1_048_576;

/** Whether a task of a job may have been started. */
export enum Started {
  No = 'no',
  Perhaps = 'perhaps',
  Yes = 'yes',
}

/** How a job ended. */
export enum JobOutcome {
  Complete = 'complete',
  Failed = 'failed',
}

/** Resources that the caller declares for a task; often far off. */
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

/** One job as admitted from a caller. */
export interface JobRequest {
  readonly jobId: JobId;
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly tasks: readonly TaskRequest[];
  readonly idempotent: boolean;
  /** Time that the caller allows from admission to the answer. */
  readonly deadlineMilliseconds: Milliseconds;
}

/** The answer of one task. */
export interface TaskAnswer {
  readonly taskId: TaskId;
  readonly answer: JsonText;
}

/** A job whose every task was answered, in the order of the tasks asked. */
export interface CompleteJobResult {
  readonly jobId: JobId;
  readonly outcome: JobOutcome.Complete;
  readonly answers: readonly TaskAnswer[];
}

/** A job that failed as a whole; it carries no answers. */
export interface FailedJobResult {
  readonly jobId: JobId;
  readonly outcome: JobOutcome.Failed;
  readonly reason: string;
  readonly started: Started;
  /** Whether the job failed because its deadline passed. */
  readonly deadlinePassed: boolean;
}

/** The whole result of a job. */
export type JobResult = CompleteJobResult | FailedJobResult;

/** What the comparison asks of a dispatcher, whatever its policy. */
import type { TimerService } from '@cranberryturn/timers';
import type {
  AttemptKey,
  AttemptResult,
  AttemptStart,
  JobRequest,
  Started,
  TargetIdentity,
  TargetLoad,
  TargetRecord,
} from '@cranberryturn/types';

/** How the dispatcher reaches targets and reports fates. */
export interface PolicyEnvironment {
  readonly dispatcherId: string;
  readonly dataCentre: string;
  readonly dispatchers: number;
  readonly timers: TimerService;
  readonly seed: number;
  startAttempt(target: TargetIdentity, attempt: AttemptStart): void;
  cancelAttempts(target: TargetIdentity, attempts: readonly AttemptKey[]): void;
  /** Reports a task that ended for good, and whether it may have been started. */
  taskEnded(
    jobId: string,
    taskId: string,
    answered: boolean,
    started: Started,
  ): void;
}

/** One dispatcher with one policy. */
export interface PolicyDispatcher {
  addTarget(record: TargetRecord): void;
  removeTarget(target: TargetIdentity): void;
  /** False when the job is refused. */
  submit(job: JobRequest): boolean;
  /** Ends a job that its caller no longer wants. */
  cancel(jobId: string): void;
  attemptEnded(
    target: TargetIdentity,
    result: AttemptResult,
    load: TargetLoad,
    credits: number,
  ): void;
  /** Credits pushed by a target; only slot credits use them. */
  creditsGranted(target: TargetIdentity, credits: number): void;
  stop(): void;
}

/** Creates a dispatcher with one policy. */
export type PolicyFactory = (
  environment: PolicyEnvironment,
) => PolicyDispatcher;

/** What a policy asks of the sidecars. */
export interface SidecarSettings {
  /** Attempts that may wait for a slot. */
  readonly queueLimit: number;
  /** Whether they tell dispatchers without asking that they may send again. */
  readonly shouldPushCredits: boolean;
}

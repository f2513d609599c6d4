/** The interface of simulated dispatchers, common to all policies. */
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

/** What a policy gets from the simulation: identity, clock, seed, sending to targets and reporting outcomes. */
export interface PolicyEnvironment {
  readonly dispatcherId: string;
  readonly dataCentre: string;
  readonly dispatchers: number;
  readonly timers: TimerService;
  readonly seed: number;
  startAttempt(target: TargetIdentity, attempt: AttemptStart): void;
  cancelAttempts(target: TargetIdentity, attempts: readonly AttemptKey[]): void;
  /** Reports the final outcome of a task and whether it may have been started. */
  taskEnded(
    jobId: string,
    taskId: string,
    answered: boolean,
    started: Started,
  ): void;
}

/** A dispatcher that places tasks by one policy. */
export interface PolicyDispatcher {
  addTarget(record: TargetRecord): void;
  removeTarget(target: TargetIdentity): void;
  /** Returns false if the job is refused. */
  submit(job: JobRequest): boolean;
  /** Cancels a job on behalf of its caller. */
  cancel(jobId: string): void;
  attemptEnded(
    target: TargetIdentity,
    result: AttemptResult,
    load: TargetLoad,
    credits: number,
  ): void;
  /** Called when a target pushes credits; only the slot credits policy uses them. */
  creditsGranted(target: TargetIdentity, credits: number): void;
  stop(): void;
}

/** Creates a dispatcher that places tasks by one policy. */
export type PolicyFactory = (
  environment: PolicyEnvironment,
) => PolicyDispatcher;

/** Settings of the sidecars that belong to a policy. */
export interface SidecarSettings {
  /** Maximum number of attempts that wait for a slot at a target. */
  readonly queueLimit: number;
  /** Whether sidecars send dispatchers their credits unasked. */
  readonly shouldPushCredits: boolean;
}

/** What the comparison asks of a dispatcher, whatever its policy. */
import type { TimerService } from '@cranberryturn/timers';
import type {
  AttemptKey,
  AttemptResult,
  AttemptStart,
  JobRequest,
  TargetIdentity,
  TargetLoad,
  TargetRecord,
} from '@cranberryturn/types';

/** How the dispatcher reaches targets and reports fates. */
export interface PolicySurroundings {
  readonly dispatcherId: string;
  readonly dataCentre: string;
  readonly dispatchers: number;
  readonly timers: TimerService;
  readonly seed: number;
  startAttempt(target: TargetIdentity, attempt: AttemptStart): void;
  cancelAttempts(target: TargetIdentity, attempts: readonly AttemptKey[]): void;
  /** Reports a task that ended for good. */
  taskEnded(jobId: string, taskId: string, answered: boolean): void;
}

/** One dispatcher with one policy. */
export interface PolicyDispatcher {
  addTarget(record: TargetRecord): void;
  loseTarget(target: TargetIdentity): void;
  /** False when the job is refused. */
  submit(job: JobRequest): boolean;
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
  surroundings: PolicySurroundings,
) => PolicyDispatcher;

/** A scheduler on a manual clock, with a sender that records all calls. */
import { createManualTimerService } from '@cranberryturn/timers';
import {
  type AttemptKey,
  AttemptOutcome,
  type AttemptResult,
  type AttemptStart,
  type Decision,
  type JobRequest,
  NotStartedReason,
  type TargetIdentity,
  type TargetRecord,
} from '@cranberryturn/types';

import { createScheduler } from '../create-scheduler.js';
import { type TaskOutcome, TaskPlanKind } from '../ports/scheduler.js';
import type { SchedulerOptions } from '../scheduler-context.js';

/** An attempt that was sent. */
export interface SentAttempt {
  readonly target: TargetIdentity;
  readonly attempt: AttemptStart;
}

/** A cancellation that was sent. */
export interface SentCancellation {
  readonly target: TargetIdentity;
  readonly attempts: readonly AttemptKey[];
  readonly reason: string;
}

/** The outcome of a task, as reported to the observer. */
export interface ReportedOutcome {
  readonly jobId: string;
  readonly taskId: string;
  readonly outcome: TaskOutcome;
}

/** Creates a scheduler, the records of its calls and functions that end its attempts. */
export function createSchedulerFixture(
  options: Partial<SchedulerOptions> = {},
) {
  const timers = createManualTimerService();
  const sent: SentAttempt[] = [];
  const cancelled: SentCancellation[] = [];
  const asked: TargetIdentity[] = [];
  const outcomes: ReportedOutcome[] = [];
  const decisions: Decision[] = [];
  const scheduler = createScheduler({
    dispatcherId: 'dispatcher-1',
    timers,
    seed: 7,
    sender: {
      startAttempt: (target, attempt) => sent.push({ target, attempt }),
      cancelAttempts: (target, attempts, reason) =>
        cancelled.push({ target, attempts, reason }),
      askForLoad: target => asked.push(target),
    },
    observer: {
      taskEnded: (jobId, taskId, outcome) =>
        outcomes.push({ jobId, taskId, outcome }),
    },
    decisions: decision => decisions.push(decision),
    ...options,
  });

  const addTarget = (change: Partial<TargetRecord> = {}): TargetRecord => {
    const record = createTargetRecord(change);
    const load = { freeSlots: record.slots, queuedTasks: 0, draining: false };
    scheduler.targetRegistered(record, load);
    return record;
  };

  const start = (job: JobRequest): boolean => {
    if (scheduler.admitJob(job, `request-${job.jobId}`).isErr()) return false;
    const plans = job.tasks.map(
      ({ taskId }) => ({ kind: TaskPlanKind.Place, taskId }) as const,
    );
    scheduler.startJob(
      job.jobId,
      { epoch: 1, registeredUpTo: undefined },
      plans,
    );
    return true;
  };

  const endAttempt = (
    one: SentAttempt | undefined,
    describe: (key: AttemptKey) => AttemptResult,
  ): void => {
    if (one === undefined) throw new Error('No such attempt was sent.');
    scheduler.attemptEnded(one.target, describe(createAttemptKey(one.attempt)));
  };

  return {
    timers,
    scheduler,
    sent,
    cancelled,
    asked,
    outcomes,
    decisions,
    addTarget,
    start,
    answer: (one: SentAttempt | undefined, runMilliseconds = 100) => {
      endAttempt(one, key => ({
        ...key,
        outcome: AttemptOutcome.Answered,
        answer: '"done"',
        runMilliseconds,
      }));
    },
    fail: (one: SentAttempt | undefined) => {
      endAttempt(one, key => ({
        ...key,
        outcome: AttemptOutcome.Failed,
        reason: 'The target answered with status 500.',
        runMilliseconds: 1,
      }));
    },
    refuse: (one: SentAttempt | undefined, reason = NotStartedReason.Busy) => {
      endAttempt(one, key => ({
        ...key,
        outcome: AttemptOutcome.NotStarted,
        reason,
      }));
    },
  };
}

/** Creates the record of a target; `change` replaces any field. */
export function createTargetRecord(
  change: Partial<TargetRecord> = {},
): TargetRecord {
  return {
    targetId: 'worker-1',
    incarnation: 'run-1',
    service: 'register',
    host: 'host-1',
    rack: 'rack-1',
    dataCentre: 'hoan-kiem',
    resources: { processors: 64, memoryMebibytes: 131_072, accelerators: 0 },
    slots: 8,
    connections: 64,
    registeredAt: 1,
    ...change,
  };
}

/** Creates a job of `tasks` tasks; `change` replaces any field. */
export function createJob(
  jobId: string,
  tasks: number,
  change: Partial<JobRequest> = {},
): JobRequest {
  return {
    jobId,
    service: 'register',
    team: 'planning',
    tasks: Array.from({ length: tasks }, (_, position) => ({
      taskId: `task-${String(position + 1)}`,
      payload: '{}',
    })),
    idempotent: false,
    deadlineMilliseconds: 10_000,
    ...change,
  };
}

function createAttemptKey(attempt: AttemptStart): AttemptKey {
  const { jobId, taskId, epoch } = attempt;
  return { jobId, taskId, attempt: attempt.attempt, epoch };
}

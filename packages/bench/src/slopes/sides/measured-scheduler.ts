/** The scheduler of a dispatcher alone: targets and senders are plain calls. */
import {
  createScheduler,
  type Scheduler,
  TaskPlanKind,
} from '@cranberryturn/scheduling';
import { createSystemTimerService } from '@cranberryturn/timers';
import {
  AttemptOutcome,
  type AttemptStart,
  emptyConfiguration,
  type JobRequest,
  type TargetIdentity,
} from '@cranberryturn/types';

import { announceTarget, measuredService } from '../parts/identities.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

const tasksPerJob = 20;
const measuredJobs = 1_000;
const openJobs = 20;
const teamsTargets = 1_600;
const freeLoad = { freeSlots: 8, queuedTasks: 0, draining: false };

/** Starts a scheduler with `size` teams. */
export function startTeams({
  size,
  seed,
}: ScenarioInput): Promise<ScenarioSide> {
  return Promise.resolve(startSide(size, teamsTargets, seed));
}

/** Starts a scheduler with `size` targets. */
export function startTargets({
  size,
  seed,
}: ScenarioInput): Promise<ScenarioSide> {
  return Promise.resolve(startSide(1, size, seed));
}

interface SentAttempt {
  readonly target: TargetIdentity;
  readonly attempt: AttemptStart;
}

function startSide(teams: number, targets: number, seed: number): ScenarioSide {
  const sent: SentAttempt[] = [];
  const scheduler = createScheduler({
    dispatcherId: 'dispatcher-0',
    timers: createSystemTimerService(),
    seed,
    sender: {
      startAttempt: (target, attempt) => sent.push({ target, attempt }),
      cancelAttempts: () => undefined,
    },
    observer: { taskEnded: () => undefined },
    decisions: () => undefined,
  });
  configure(scheduler, teams);
  for (let number = 0; number < targets; number += 1) {
    const record = { ...announceTarget(number), registeredAt: number + 1 };
    scheduler.targetRegistered(record, freeLoad);
  }
  return {
    addresses: [],
    ready: () => Promise.resolve(),
    work: () => Promise.resolve(runJobs(scheduler, sent, teams)),
    traffic: () => noTraffic,
  };
}

function configure(scheduler: Scheduler, teams: number): void {
  const configuration = {
    ...emptyConfiguration,
    version: 1,
    services: [
      {
        service: measuredService,
        queueLimit: 100_000,
        defaultDeadlineMilliseconds: 30_000,
        retryBudgetPercent: 10,
      },
    ],
    teams: Array.from({ length: teams }, (_, number) => ({
      team: `team-${String(number)}`,
      weight: 1,
      concurrencyQuota: 10_000,
    })),
  };
  scheduler.applyConfiguration(configuration, {
    count: 1,
    names: ['dispatcher-0'],
  });
}

function runJobs(
  scheduler: Scheduler,
  sent: SentAttempt[],
  teams: number,
): number {
  let ended = 0;
  for (let first = 0; first < measuredJobs; first += openJobs) {
    for (let number = first; number < first + openJobs; number += 1) {
      startJob(scheduler, composeJob(number, `team-${String(number % teams)}`));
    }
    for (let one = sent.pop(); one !== undefined; one = sent.pop()) {
      const { jobId, taskId, attempt, epoch } = one.attempt;
      scheduler.attemptEnded(one.target, {
        jobId,
        taskId,
        attempt,
        epoch,
        outcome: AttemptOutcome.Answered,
        answer: '{}',
        runMilliseconds: 100,
      });
      scheduler.targetLoadReported(one.target, freeLoad);
      ended += 1;
    }
  }
  if (ended !== measuredJobs * tasksPerJob) {
    throw new Error(`Only ${String(ended)} tasks ended.`);
  }
  return ended;
}

function startJob(scheduler: Scheduler, job: JobRequest): void {
  const admitted = scheduler.admitJob(job);
  if (admitted.isErr()) throw new Error(admitted.error.reason);
  scheduler.startJob(
    job.jobId,
    { epoch: 1, registeredUpTo: undefined },
    job.tasks.map(({ taskId }) => ({ kind: TaskPlanKind.Place, taskId })),
  );
}

function composeJob(number: number, team: string): JobRequest {
  return {
    jobId: `job-${String(number)}`,
    service: measuredService,
    team,
    idempotent: true,
    deadlineMilliseconds: 30_000,
    tasks: Array.from({ length: tasksPerJob }, (_, task) => ({
      taskId: `task-${String(task)}`,
      payload: '{}',
    })),
  };
}

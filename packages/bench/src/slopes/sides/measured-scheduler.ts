/** Measures the scheduler of a dispatcher without network: attempts are answered by direct calls. */
import {
  createScheduler,
  type Scheduler,
  type SharingScheduler,
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

import { composeAnnouncement, measuredService } from '../parts/identities.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

const tasksPerJob = 20;
const measuredJobs = 1_000;
const jobsPerBatch = 20;
const fixedTargets = 1_600;
const acceleratorsPerTarget = 8;
const freeLoad = { freeSlots: 8, queuedTasks: 0, draining: false };

/** Starts a scheduler with `size` teams and 1,600 targets. */
export function startTeams({
  size,
  seed,
}: ScenarioInput): Promise<ScenarioSide> {
  return Promise.resolve(startSide(size, fixedTargets, seed));
}

/** Starts a scheduler with one team and `size` targets. */
export function startTargets({
  size,
  seed,
}: ScenarioInput): Promise<ScenarioSide> {
  return Promise.resolve(startSide(1, size, seed));
}

/** Starts a scheduler with 1,600 targets, of which `size` have accelerators; half of the jobs declare one. */
export function startAccelerators({
  size,
  seed,
}: ScenarioInput): Promise<ScenarioSide> {
  return Promise.resolve(startSide(1, fixedTargets, seed, size));
}

interface SentAttempt {
  readonly target: TargetIdentity;
  readonly attempt: AttemptStart;
}

function startSide(
  teams: number,
  targets: number,
  seed: number,
  targetsWithAccelerators = 0,
): ScenarioSide {
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
  configureTeams(scheduler, teams);
  for (let number = 0; number < targets; number += 1) {
    const announced = composeAnnouncement(number);
    const accelerators =
      number < targetsWithAccelerators ? acceleratorsPerTarget : 0;
    const record = {
      ...announced,
      resources: { ...announced.resources, accelerators },
      registeredAt: number + 1,
    };
    scheduler.targetRegistered(record, freeLoad);
  }
  return {
    addresses: [],
    ready: () => Promise.resolve(),
    work: () =>
      Promise.resolve(
        runJobs(scheduler, sent, teams, targetsWithAccelerators > 0),
      ),
    traffic: () => noTraffic,
  };
}

function configureTeams(scheduler: Scheduler, teams: number): void {
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
  scheduler: SharingScheduler,
  sent: SentAttempt[],
  teams: number,
  hasAcceleratorJobs: boolean,
): number {
  let ended = 0;
  for (let first = 0; first < measuredJobs; first += jobsPerBatch) {
    scheduler.confirmMembership();
    for (let number = first; number < first + jobsPerBatch; number += 1) {
      const accelerators = hasAcceleratorJobs ? number % 2 : 0;
      const team = `team-${String(number % teams)}`;
      startJob(scheduler, composeJob(number, team, accelerators));
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
    throw new Error(
      `Only ${String(ended)} tasks ended; some of the submitted ones were not answered.`,
    );
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

function composeJob(
  number: number,
  team: string,
  accelerators: number,
): JobRequest {
  return {
    jobId: `job-${String(number)}`,
    service: measuredService,
    team,
    idempotent: true,
    deadlineMilliseconds: 30_000,
    tasks: Array.from({ length: tasksPerJob }, (_, task) => ({
      taskId: `task-${String(task)}`,
      payload: '{}',
      declared: accelerators === 0 ? undefined : { accelerators },
    })),
  };
}

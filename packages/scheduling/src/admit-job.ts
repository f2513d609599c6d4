/** Admits or refuses a job before its claim. */
import { decideAdmission, type JobRefusal } from '@cranberryturn/admission';
import { findMissingResource } from '@cranberryturn/placement';
import { err, ok, type Result } from 'neverthrow';
import type { JobRequest, Milliseconds } from '@cranberryturn/types';

import {
  type ActiveJob,
  countWaitingTask,
  createActiveJob,
  findTeamBacklog,
  type ServicePool,
} from './active-work.js';
import { RefusalKind } from './ports/scheduler.js';
import {
  findOrCreatePool,
  findOrCreateTeamLimiter,
  type SchedulerContext,
} from './scheduler-context.js';

/** Mean part of its run time that a running task still needs. */
const remainingRunFraction = 0.5;

/** Admits a job, whose tasks count as waiting from now on, or refuses it with a reason. */
export function admitJob(
  context: SchedulerContext,
  request: JobRequest,
  requestId: string | undefined,
): Result<void, JobRefusal> {
  const isKnown = context.jobs.has(request.jobId);
  if (isKnown) return err(createDuplicateRefusal(request));
  const pool = findOrCreatePool(context, request.service);
  const teamLimiter = findOrCreateTeamLimiter(context, request.team);
  const now = context.options.timers.now();
  const job = createActiveJob(request, requestId, pool, teamLimiter, now);
  const decision = decideJobAdmission(context, pool, job);
  if (decision.isErr()) return decision;
  context.jobs.set(request.jobId, job);
  for (const task of job.openTasks.values()) countWaitingTask(task, 1);
  return ok(undefined);
}

function decideJobAdmission(
  context: SchedulerContext,
  pool: ServicePool,
  job: ActiveJob,
): Result<void, JobRefusal> {
  const { request } = job;
  const { index, runTimes } = pool;
  const freeSlots = countFreeSlots(context, pool);
  const backlog = findTeamBacklog(pool, request.team);
  const meanRunMilliseconds = runTimes.estimate();
  const runningWorkMilliseconds =
    freeSlots > 0
      ? 0
      : pool.limiter.running * meanRunMilliseconds * remainingRunFraction;
  return decideAdmission(
    {
      service: request.service,
      team: request.team,
      tasks: request.tasks.length,
      deadlineMilliseconds: request.deadlineMilliseconds,
      workMilliseconds: job.costMilliseconds,
      minimumRunMilliseconds: runTimes.findPercentile(10) ?? 0,
      targets: index.size,
      missingResource: findResourceNoWorkerHas(pool, request),
      queueLimit: pool.configuration.queueLimit,
      queuedTasks: pool.queuedTasks,
      freeSlots: Math.max(0, freeSlots - pool.queuedTasks),
      backlogMilliseconds:
        pool.queuedWorkMilliseconds + runningWorkMilliseconds,
      parallelism: estimateParallelism(context, pool, meanRunMilliseconds),
      teamQueuedTasks: backlog.tasks,
      teamBacklogMilliseconds: backlog.workMilliseconds,
      teamParallelism: job.teamLimiter.computeParallelism(meanRunMilliseconds),
      teamFairShare: pool.queue.computeFairShare(request.team),
    },
    context.random.fraction(),
  );
}

/** Counts the tasks that could start at once, in the equal part of the slots and within the concurrency share. */
function countFreeSlots(context: SchedulerContext, pool: ServicePool): number {
  if (!pool.index.hasFreeSlots()) return 0;
  const ownFreeSlots = estimateOwnSlots(context, pool) - pool.limiter.running;
  const freeUnderLimit = pool.limiter.concurrencyShare - pool.limiter.running;
  return Math.max(1, Math.min(ownFreeSlots, freeUnderLimit));
}

function estimateParallelism(
  context: SchedulerContext,
  pool: ServicePool,
  meanRunMilliseconds: Milliseconds,
): number {
  const slots =
    pool.saturatedParallelism ??
    Math.max(estimateOwnSlots(context, pool), pool.limiter.running);
  return Math.min(slots, pool.limiter.computeParallelism(meanRunMilliseconds));
}

function estimateOwnSlots(
  context: SchedulerContext,
  pool: ServicePool,
): number {
  const equalPart = Math.floor(pool.index.slots / context.dispatchers);
  return Math.max(1, equalPart);
}

function findResourceNoWorkerHas(
  pool: ServicePool,
  request: JobRequest,
): string | undefined {
  let missing: string | undefined;
  for (const { declared } of request.tasks) {
    if (declared === undefined) continue;
    missing = undefined;
    for (const entry of pool.index.entries()) {
      missing = findMissingResource(entry.record.resources, declared);
      if (missing === undefined) break;
    }
    if (missing !== undefined) return missing;
  }
  return undefined;
}

function createDuplicateRefusal(request: JobRequest): JobRefusal {
  return {
    kind: RefusalKind.Overloaded,
    reason: `Job "${request.jobId}" is already in progress; ask for its result.`,
    retryAfterMilliseconds: 1_000,
  };
}

/** Admits or refuses a job before it is claimed. */
import { decideAdmission, type JobRefusal } from '@cranberryturn/admission';
import { findMissingResource } from '@cranberryturn/placement';
import { err, ok, type Result } from 'neverthrow';
import type { JobRequest, Milliseconds } from '@cranberryturn/types';

import {
  type ActiveJob,
  countWaiting,
  createActiveJob,
  findBacklog,
  type ServicePool,
} from './active-work.js';
import { RefusalKind } from './ports/scheduler.js';
import {
  findPool,
  findTeamGate,
  type SchedulerContext,
} from './scheduler-context.js';

const runningWorkPart = 0.5;

/** Admits a job, which then counts as waiting, or refuses it. */
export function admitJob(
  context: SchedulerContext,
  request: JobRequest,
  requestId: string | undefined,
): Result<void, JobRefusal> {
  const known = context.jobs.has(request.jobId);
  if (known) return err(describeKnownJob(request));
  const pool = findPool(context, request.service);
  const gate = findTeamGate(context, request.team);
  const now = context.options.timers.now();
  const job = createActiveJob(request, requestId, pool, gate, now);
  const decided = weighJob(context, pool, job);
  if (decided.isErr()) return decided;
  context.jobs.set(request.jobId, job);
  for (const task of job.open.values()) countWaiting(task, 1);
  return ok(undefined);
}

function weighJob(
  context: SchedulerContext,
  pool: ServicePool,
  job: ActiveJob,
): Result<void, JobRefusal> {
  const { request } = job;
  const { index, runTimes } = pool;
  const freeSlots = countFreeCapacity(context, pool);
  const backlog = findBacklog(pool, request.team);
  const mean = runTimes.estimate();
  const runningWork =
    freeSlots > 0 ? 0 : pool.gate.running * mean * runningWorkPart;
  return decideAdmission(
    {
      service: request.service,
      team: request.team,
      tasks: request.tasks.length,
      deadlineMilliseconds: request.deadlineMilliseconds,
      workMilliseconds: job.cost,
      shortestRunMilliseconds: runTimes.quantile(10) ?? 0,
      targets: index.size,
      missingResource: findMissing(pool, request),
      queueLimit: pool.configuration.queueLimit,
      queuedTasks: pool.queuedTasks,
      freeSlots: Math.max(0, freeSlots - pool.queuedTasks),
      backlogMilliseconds: pool.queuedWork + runningWork,
      parallelism: estimateParallelism(context, pool, mean),
      teamQueuedTasks: backlog.tasks,
      teamBacklogMilliseconds: backlog.work,
      teamParallelism: job.teamGate.parallelism(mean),
      teamFairShare: pool.queue.fairShare(request.team),
    },
    context.random.fraction(),
  );
}

/** Tasks that could start at once, counting the part of the slots that other dispatchers leave. */
function countFreeCapacity(
  context: SchedulerContext,
  pool: ServicePool,
): number {
  if (!pool.index.hasFree()) return 0;
  const own = expectedSlots(context, pool) - pool.gate.running;
  const limit = pool.gate.concurrencyShare - pool.gate.running;
  return Math.max(1, Math.min(own, limit));
}

function estimateParallelism(
  context: SchedulerContext,
  pool: ServicePool,
  mean: Milliseconds,
): number {
  const slots =
    pool.saturatedParallelism ??
    Math.max(expectedSlots(context, pool), pool.gate.running);
  return Math.min(slots, pool.gate.parallelism(mean));
}

function expectedSlots(context: SchedulerContext, pool: ServicePool): number {
  const part = Math.floor(pool.index.slots / context.dispatchers);
  return Math.max(1, part);
}

function findMissing(
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

function describeKnownJob(request: JobRequest): JobRefusal {
  return {
    kind: RefusalKind.Overloaded,
    reason: `Job "${request.jobId}" is already in progress; ask for its result.`,
    retryAfterMilliseconds: 1_000,
  };
}

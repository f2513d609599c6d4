/** State and options that the modules of one scheduler share. */
import {
  FairQueue,
  TaskLimiter,
  LinkedList,
  type ShareExchange,
  type ShareLedger,
} from '@cranberryturn/admission';
import {
  HealthTracker,
  createRunTimeModel,
  createUsageModel,
  TargetIndex,
  type TargetEntry,
} from '@cranberryturn/placement';
import type { RandomSource } from '@cranberryturn/random';
import { createRetryBudget } from '@cranberryturn/retries';
import type { TimerService } from '@cranberryturn/timers';
import {
  type ClusterConfiguration,
  type DataCentreName,
  DecisionKind,
  type DecisionSink,
  type DispatcherId,
  type Incarnation,
  type JobId,
  type Milliseconds,
  type ServiceConfiguration,
  type ServiceName,
  type TargetId,
  type TargetIdentity,
  type TeamName,
} from '@cranberryturn/types';

import type { ActiveAttempt, ActiveJob, ServicePool } from './active-work.js';
import type { CancelBatcher } from './cancel-batcher.js';
import type { UsageHistory } from './record-usage.js';
import type { AttemptSender, TaskObserver } from './ports/scheduler.js';

/** Options of a scheduler. */
export interface SchedulerOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  /** Seed of the random choices. */
  readonly seed: number;
  readonly sender: AttemptSender;
  readonly observer: TaskObserver;
  readonly decisions: DecisionSink;
  /** Data centre whose targets are preferred; undefined means no preference. */
  readonly dataCentre?: DataCentreName | undefined;
  /** Lends and borrows units of limits; without it, every dispatcher keeps its equal allocation. */
  readonly shareExchange?: ShareExchange | undefined;
  /** Time after the last confirmed membership for which this dispatcher may use its allocations; undefined means no end. */
  readonly membershipLeaseMilliseconds?: Milliseconds | undefined;
}

/** The state of one scheduler. */
export interface SchedulerContext {
  readonly options: SchedulerOptions;
  readonly random: RandomSource;
  readonly ledger: ShareLedger;
  readonly cancelBatcher: CancelBatcher;
  readonly jobs: Map<JobId, ActiveJob>;
  readonly pools: Map<ServiceName, ServicePool>;
  readonly teams: Map<TeamName, TaskLimiter>;
  readonly targets: Map<TargetId, Map<Incarnation, TargetEntry>>;
  /** Attempts that have not ended at each target. */
  readonly attempts: Map<TargetEntry, Set<ActiveAttempt>>;
  /** Only for targets whose platform reports usage. */
  readonly usageHistories: Map<TargetEntry, UsageHistory>;
  /** Attempts whose task has ended and whose targets have not reported a result yet. */
  readonly abandonedAttempts: Set<ActiveAttempt>;
  configuration: ClusterConfiguration;
  /** Number of dispatchers that share the targets and the limits; at least 1. */
  dispatchers: number;
}

/** Applies to services that the configuration does not name. */
const defaultServiceConfiguration: Omit<ServiceConfiguration, 'service'> = {
  queueLimit: 10_000,
  defaultDeadlineMilliseconds: 10_000,
  retryBudgetPercent: 10,
};

/** Returns the pool of a service, and creates it at the first use. */
export function findOrCreatePool(
  context: SchedulerContext,
  service: ServiceName,
): ServicePool {
  const known = context.pools.get(service);
  if (known !== undefined) return known;
  const created = createPool(context, service);
  context.pools.set(service, created);
  return created;
}

/** Returns the limiter of a team, and creates it at the first use. */
export function findOrCreateTeamLimiter(
  context: SchedulerContext,
  team: TeamName,
): TaskLimiter {
  const known = context.teams.get(team);
  if (known !== undefined) return known;
  const created = new TaskLimiter();
  context.teams.set(team, created);
  return created;
}

/** Returns the entry of a target run, or undefined when the run is not registered here. */
export function findTarget(
  context: SchedulerContext,
  target: TargetIdentity,
): TargetEntry | undefined {
  return context.targets.get(target.targetId)?.get(target.incarnation);
}

function createPool(
  context: SchedulerContext,
  service: ServiceName,
): ServicePool {
  const { decisions } = context.options;
  const configuration: ServiceConfiguration =
    context.configuration.services.find(one => one.service === service) ?? {
      service,
      ...defaultServiceConfiguration,
    };
  const pool: ServicePool = {
    service,
    index: new TargetIndex(context.random),
    health: new HealthTracker((entry, action, reason) => {
      const target = entry.record.targetId;
      decisions({ kind: DecisionKind.Health, target, action, reason });
    }),
    runTimes: createRunTimeModel(),
    usage: createUsageModel(),
    queue: new FairQueue(),
    limiter: new TaskLimiter(),
    retryBudget: createRetryBudget(configuration.retryBudgetPercent),
    running: new LinkedList(),
    teamBacklogs: new Map(),
    backedOffTargets: new Set(),
    configuration,
    saturatedParallelism: undefined,
    queuedTasks: 0,
    queuedWorkMilliseconds: 0,
    loadRequestedAt: Number.NEGATIVE_INFINITY,
  };
  for (const { team, weight } of context.configuration.teams)
    pool.queue.setWeight(team, weight);
  return pool;
}

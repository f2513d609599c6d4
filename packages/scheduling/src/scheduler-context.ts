/** What the modules of one scheduler share. */
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

/** What a scheduler is built from. */
export interface SchedulerOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  readonly seed: number;
  readonly sender: AttemptSender;
  readonly observer: TaskObserver;
  readonly decisions: DecisionSink;
  /** Targets of this data centre are preferred. */
  readonly dataCentre?: DataCentreName | undefined;
  /** Lends and borrows parts of limits; without it, every dispatcher keeps an equal part. */
  readonly shareExchange?: ShareExchange | undefined;
  /** Time after the last confirmed membership for which this dispatcher may use its parts of limits. */
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
  /** Of the targets whose platform reports usage. */
  readonly usageHistories: Map<TargetEntry, UsageHistory>;
  /** Attempts whose task has ended while they still occupy their target. */
  readonly abandonedAttempts: Set<ActiveAttempt>;
  configuration: ClusterConfiguration;
  /** Dispatchers that share the targets and the limits. */
  dispatchers: number;
}

const defaultServiceConfiguration: Omit<ServiceConfiguration, 'service'> = {
  queueLimit: 10_000,
  defaultDeadlineMilliseconds: 10_000,
  retryBudgetPercent: 10,
};

/** The pool of a service; created when it is first named. */
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

/** The limits of a team; created when it is first named. */
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

/** The entry of a target run, if it is registered here. */
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

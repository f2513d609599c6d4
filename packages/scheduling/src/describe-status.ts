/** Describes the state of a scheduler for metrics. */
import { HealthPhase } from '@cranberryturn/placement';

import type { SchedulerStatus, TargetStatus } from './ports/scheduler.js';
import type { SchedulerContext } from './scheduler-context.js';

export function describeStatus(context: SchedulerContext): SchedulerStatus {
  const targets: TargetStatus[] = [];
  for (const runs of context.targets.values()) {
    for (const entry of runs.values()) {
      targets.push({
        targetId: entry.record.targetId,
        state: entry.state,
        runningAttempts: entry.outstandingAttempts,
        isEjected: entry.health.phase === HealthPhase.Ejected,
      });
    }
  }
  const pools = [...context.pools.values()];
  return {
    queuedTasks: pools.reduce((sum, pool) => sum + pool.queuedTasks, 0),
    runningTasks: pools.reduce((sum, pool) => sum + pool.limiter.running, 0),
    targets,
  };
}

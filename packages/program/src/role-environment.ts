/** Creates the timers, logs and metrics that every role is started with. */
import {
  createDecisionLog,
  createLogger,
  type DecisionLog,
  type Logger,
} from '@cranberryturn/logger';
import { createMetrics, type Metrics } from '@cranberryturn/metrics';
import type { LogSettings } from '@cranberryturn/settings';
import {
  createSystemTimerService,
  type TimerService,
} from '@cranberryturn/timers';
import type { Network, PeerIdentity } from '@cranberryturn/wire';

/** Timers, logs and metrics of one role. */
export interface RoleEnvironment {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  /** Wraps the network of the role; used for measurements and fault injection in tests. */
  readonly wrapNetwork?:
    ((network: Network, self: PeerIdentity) => Network) | undefined;
}

/** Creates the environment of a role; `process` is the process name in logs and metrics. */
export function createRoleEnvironment(options: {
  readonly role: string;
  readonly process: string;
  readonly log: LogSettings;
  readonly timers?: TimerService | undefined;
}): RoleEnvironment {
  const { role, process, log } = options;
  const timers = options.timers ?? createSystemTimerService();
  const logger = createLogger({ process, timers, ...log });
  const file = log.decisionFile;
  return {
    timers,
    logger,
    decisions: createDecisionLog({ logger, process, timers, file }),
    metrics: createMetrics({ role, process, timers }),
  };
}

/** Flushes and closes the decision log and the log. */
export async function closeRoleEnvironment(
  environment: RoleEnvironment,
): Promise<void> {
  await environment.decisions.close();
  await environment.logger.close();
}

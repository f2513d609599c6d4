/** Creates what every role needs besides its settings. */
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

/** Time, logs and measures of one role. */
export interface RoleEnvironment {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  /** Puts something between the role and its network, for measurements and failure tests. */
  readonly wrapNetwork?:
    ((network: Network, self: PeerIdentity) => Network) | undefined;
}

/** Creates the environment of a role that runs as `process`. */
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

/** Writes out logs and decisions. */
export async function closeRoleEnvironment(
  environment: RoleEnvironment,
): Promise<void> {
  await environment.decisions.close();
  await environment.logger.close();
}

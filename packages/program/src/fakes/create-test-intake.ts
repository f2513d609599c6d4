/** Creates the intake of a process for tests, with what it reported. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { createIntake, type Intake } from '../intake/intake.js';
import {
  type IntakeLimits,
  operationsLimits,
} from '../intake/intake-limits.js';

export interface TestIntake extends Intake {
  /** Number of callers refused. */
  countRefused(): number;
  /** The fields of the log lines. */
  readonly lines: readonly object[];
}

export function createTestIntake(
  limits: Partial<IntakeLimits> = {},
): TestIntake {
  const lines: object[] = [];
  let refused = 0;
  const intake = createIntake({
    limits: { ...operationsLimits, ...limits },
    timers: createSystemTimerService(),
    logger: {
      warn: (_message, fields = {}) => {
        lines.push(fields);
      },
    },
    metrics: {
      count: () => {
        refused += 1;
      },
      registerGauge: () => undefined,
    },
  });
  return { ...intake, lines, countRefused: () => refused };
}

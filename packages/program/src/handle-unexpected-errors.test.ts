import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import {
  handleUnexpectedErrors,
  UnexpectedErrorPolicy,
} from './handle-unexpected-errors.js';
import type { RoleEnvironment } from './role-environment.js';

// Guards against a process in an unknown state that goes on because its disk does not answer.
test('a process whose logs cannot be flushed ends nevertheless', async t => {
  const timers = createManualTimerService();
  const environment: RoleEnvironment = {
    timers,
    logger: createSilentLogger(),
    decisions: {
      record: () => undefined,
      close: () => new Promise(() => undefined),
    },
    metrics: createMetrics({ role: 'control', process: 'c1', timers }),
  };
  const exits: number[] = [];
  let fail: (error: unknown) => void = () => undefined;
  handleUnexpectedErrors(
    {
      onUnexpectedError: handler => {
        fail = handler;
      },
      exit: code => exits.push(code),
    },
    environment,
    () => UnexpectedErrorPolicy.Exit,
  );
  fail(new Error('unexpected'));
  await timers.advance(5_000);
  t.deepEqual(exits, [1]);
});

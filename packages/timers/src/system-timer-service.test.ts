import test from 'ava';

import { createSystemTimerService } from './system-timer-service.js';

test.serial(
  'a callback that throws neither stops the other callbacks of its interval nor hides its error',
  async t => {
    const timers = createSystemTimerService();
    // The test runner ends the process for an error that nothing caught, so its listeners are set aside.
    const listeners = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    const errors: unknown[] = [];
    process.on('uncaughtException', error => errors.push(error));
    let calls = 0;
    const failing = timers.every(5, () => {
      throw new Error('unexpected');
    });
    const other = timers.every(5, () => {
      calls += 1;
    });
    await new Promise(resolve => setTimeout(resolve, 60));
    failing.cancel();
    other.cancel();
    await new Promise(resolve => setImmediate(resolve));
    process.removeAllListeners('uncaughtException');
    for (const listener of listeners) process.on('uncaughtException', listener);
    t.true(calls >= 2);
    t.is(errors.length, calls);
  },
);

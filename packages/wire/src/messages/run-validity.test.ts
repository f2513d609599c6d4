import test from 'ava';

import {
  defaultExecutionBounds,
  deriveRunValidity,
  certainLeaseShare,
  leaseCheckInterval,
  lostRenewalMilliseconds,
} from './run-validity.js';

test('the validity of runs adds up to less than the resend time of callers, and leaves time for stops and heartbeats', t => {
  for (const resendMilliseconds of [800, 1_300, 2_000, 10_000]) {
    for (const stopMilliseconds of [20, 50, 100]) {
      const bounds = {
        ...defaultExecutionBounds,
        resendMilliseconds,
        stopMilliseconds,
      };
      const validity = deriveRunValidity(bounds);
      const message = JSON.stringify({ bounds, validity });
      const lastRunEnds = validity.orderMilliseconds + stopMilliseconds;
      const lateMilliseconds = resendMilliseconds / 20;
      const closeMilliseconds = resendMilliseconds / 10;
      t.true(
        lastRunEnds + lateMilliseconds + closeMilliseconds <=
          resendMilliseconds,
        message,
      );
      t.true(
        validity.endedMilliseconds >= lastRunEnds + lateMilliseconds,
        message,
      );
      const stopEnds =
        validity.renewalMilliseconds + leaseCheckInterval + stopMilliseconds;
      t.true(stopEnds < validity.orderMilliseconds, message);
      t.true(
        2 * validity.heartbeatMilliseconds < validity.renewalMilliseconds,
        message,
      );
    }
  }
});

test('a lease outlasts one lost renewal', t => {
  const { grantMilliseconds, renewalWaitMilliseconds } = deriveRunValidity(
    defaultExecutionBounds,
  );
  const untilNext = 2 * renewalWaitMilliseconds + lostRenewalMilliseconds;
  t.true(untilNext <= grantMilliseconds * certainLeaseShare);
});

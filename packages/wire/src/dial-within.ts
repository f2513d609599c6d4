/** Dials with a timeout, which is shorter while hosts start up together. */
import {
  type AuthenticationError,
  ConnectionError,
} from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { err, type Result, ResultAsync } from 'neverthrow';

import { formatAddress } from './format-address.js';
import type { Connection, Dialer } from './ports/connection.js';

type DialResult = Result<Connection, ConnectionError | AuthenticationError>;

/**
 * Time after the start of this process in which other hosts may be starting too: they listen after
 * about 1 s.
 */
const startupPeriod: Milliseconds = 1_500;
/**
 * A dial to a host without power gets no answer even after the host has started: a new dial is
 * needed.
 */
const startupDialTimeout: Milliseconds = 250;

/** Whether other hosts may still be starting, so that dialling again soon is useful. */
export function isStartupPeriod(sinceStart: Milliseconds): boolean {
  return sinceStart < startupPeriod;
}

/** Returns the timeout of a dial: `timeout`, or less while other hosts may be starting. */
export function chooseDialTimeout(
  sinceStart: Milliseconds,
  timeout: Milliseconds,
): Milliseconds {
  return isStartupPeriod(sinceStart)
    ? Math.min(startupDialTimeout, timeout)
    : timeout;
}

/** Dials; fails with a ConnectionError after `timeout`. A connection that opens later is closed. */
export function dialWithin(
  dialer: Dialer,
  timers: TimerService,
  address: NetworkAddress,
  timeout: Milliseconds,
): ResultAsync<Connection, ConnectionError | AuthenticationError> {
  const dialled = new Promise<DialResult>(resolve => {
    let isTimedOut = false;
    const expiry = timers.after(timeout, () => {
      isTimedOut = true;
      resolve(err(createTimeoutError(address, timeout)));
    });
    void dialer.dial(address).then(result => {
      expiry.cancel();
      if (isTimedOut && result.isOk()) result.value.close();
      resolve(result);
    });
  });
  return new ResultAsync(dialled);
}

function createTimeoutError(
  address: NetworkAddress,
  timeout: Milliseconds,
): ConnectionError {
  const peer = formatAddress(address);
  return new ConnectionError(
    `${peer} did not accept a connection within ${String(timeout)} ms.`,
    { step: 'dial', peer },
  );
}

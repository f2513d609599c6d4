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

/** Hosts that start together all listen after about a second. */
const startupPeriod: Milliseconds = 1_500;
/** A dial to a host without power is never answered, also once the host has started. */
const startupDialTimeout: Milliseconds = 250;

/** Whether other hosts may be starting as well, so that another dial soon is of use. */
export function isStartPeriod(sinceStart: Milliseconds): boolean {
  return sinceStart < startupPeriod;
}

/** Time for a dial: `timeout`, or less while other hosts may be starting. */
export function chooseDialTimeout(
  sinceStart: Milliseconds,
  timeout: Milliseconds,
): Milliseconds {
  return isStartPeriod(sinceStart)
    ? Math.min(startupDialTimeout, timeout)
    : timeout;
}

/** Dials, and gives up after `timeout`; a connection that opens later is closed. */
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

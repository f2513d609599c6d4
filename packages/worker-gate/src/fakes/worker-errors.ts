/** Errors of orders to the fake worker. */
import { ConnectionError, TimeoutError } from '@cranberryturn/errors';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { err, type Result } from 'neverthrow';

import type { WorkerCallError, WorkerOrder } from '../ports/worker.js';

const replyTimeoutMilliseconds: Milliseconds = 250;

/** Fails once the reply timeout of the order has passed. */
export async function failWithTimeout(
  timers: TimerService,
  peer: string,
  { replyTimeout = replyTimeoutMilliseconds }: WorkerOrder,
): Promise<Result<never, WorkerCallError>> {
  await sleep(timers, replyTimeout);
  return err(
    new TimeoutError('The worker did not reply in time.', {
      step: 'call worker',
      peer,
    }),
  );
}

/** The error of a worker that accepts no connections. */
export function createConnectionError(peer: string): WorkerCallError {
  return new ConnectionError('The worker refused the connection.', {
    step: 'call worker',
    peer,
  });
}

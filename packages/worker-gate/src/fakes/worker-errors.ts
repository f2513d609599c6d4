/** Errors of orders to the fake worker. */
import { ConnectionError, TimeoutError } from '@cranberryturn/errors';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { err, type Result } from 'neverthrow';

import type { WorkerCallError, WorkerOrder } from '../ports/worker.js';

const replyTimeoutMilliseconds: Milliseconds = 250;

/** Fails once the wait of a renewal and the reply timeout of the order have passed. */
export async function failWithTimeout(
  timers: TimerService,
  peer: string,
  order: WorkerOrder & { readonly waitMilliseconds?: Milliseconds },
): Promise<Result<never, WorkerCallError>> {
  const { replyTimeout = replyTimeoutMilliseconds, waitMilliseconds = 0 } =
    order;
  await sleep(timers, waitMilliseconds + replyTimeout);
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

/** Detects that a worker accepts no connections any more, which is how the crash of its process shows first. */
import { ConnectionError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { type Result, ResultAsync } from 'neverthrow';

import type { WorkerCallError, WorkerPort } from './ports/worker.js';

/**
 * Wraps a port. `refused` is called when the connection of an order failed, and that of a later one too: a connection
 * that is only reset is replaced by the next order. A partition can look the same, so it proves no crash.
 */
export function watchConnections(
  port: WorkerPort,
  timers: TimerService,
  refused: () => void,
): WorkerPort {
  let failedAt: Milliseconds | undefined;

  const observe = (
    reply: Result<unknown, WorkerCallError>,
    sentAt: Milliseconds,
  ): void => {
    const isLater = failedAt !== undefined && sentAt > failedAt;
    if (reply.isOk()) {
      if (isLater) failedAt = undefined;
      return;
    }
    if (!(reply.error instanceof ConnectionError)) return;
    failedAt ??= timers.now();
    if (isLater) refused();
  };

  const call = async <Reply>(
    send: () => ResultAsync<Reply, WorkerCallError>,
  ): Promise<Result<Reply, WorkerCallError>> => {
    const sentAt = timers.now();
    const reply = await send();
    observe(reply, sentAt);
    return reply;
  };

  const watch = <Reply>(
    send: () => ResultAsync<Reply, WorkerCallError>,
  ): ResultAsync<Reply, WorkerCallError> => new ResultAsync(call(send));

  return {
    startRun: order => watch(() => port.startRun(order)),
    stopRun: order => watch(() => port.stopRun(order)),
    renewLease: order => watch(() => port.renewLease(order)),
    close: () => {
      port.close();
    },
  };
}

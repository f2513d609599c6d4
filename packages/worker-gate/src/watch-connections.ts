/** Detects that a worker accepts no connections any more, which is how the crash of its process shows first. */
import { ConnectionError, ConnectionRefusedError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import { type Result, ResultAsync } from 'neverthrow';

import type { WorkerCallError, WorkerPort } from './ports/worker.js';

/** What failed connections to a worker show. */
export interface ConnectionEvents {
  /**
   * The connection of an order failed, and that of a later one too: a connection that is only reset is replaced by the
   * next order. A partition can look the same, so it proves no crash.
   */
  readonly failed: () => void;
  /** Two orders in a row were refused, as nothing listens at the address of the worker: its process has ended. Called once. */
  readonly refused: () => void;
}

/** Wraps a port, and reports what its failed connections show. */
export function watchConnections(
  port: WorkerPort,
  timers: TimerService,
  events: ConnectionEvents,
): WorkerPort {
  let failedAt: Milliseconds | undefined;
  let refusedAt: Milliseconds | undefined;
  let isEndReported = false;

  const observe = (
    reply: Result<unknown, WorkerCallError>,
    sentAt: Milliseconds,
  ): void => {
    const hasFailedBefore = failedAt !== undefined && sentAt > failedAt;
    const wasRefusedBefore = refusedAt !== undefined && sentAt > refusedAt;
    if (reply.isOk()) {
      if (hasFailedBefore) failedAt = undefined;
      refusedAt = undefined;
      isEndReported = false;
      return;
    }
    if (!(reply.error instanceof ConnectionError)) return;
    failedAt ??= timers.now();
    if (hasFailedBefore) events.failed();
    if (!(reply.error instanceof ConnectionRefusedError)) return;
    refusedAt ??= timers.now();
    if (!wasRefusedBefore || isEndReported) return;
    isEndReported = true;
    events.refused();
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

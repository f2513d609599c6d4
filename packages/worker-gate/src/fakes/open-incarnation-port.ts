/** Port to the address of a worker, at which one incarnation after the other answers. */
import type { WorkerRun } from '@cranberryturn/types';
import { ok, ResultAsync } from 'neverthrow';

import { type WorkerPort, WorkerRefusal } from '../ports/worker.js';
import type { FakeWorker } from './fake-worker-state.js';

/**
 * Opens a port. As on the platform, an order names only the id of the worker, which all its incarnations share, and only the
 * reply to a renewal tells which of them has answered. The one that answers carries the order out.
 */
export function openIncarnationPort(
  { workerId, incarnation }: WorkerRun,
  findAnswering: () => FakeWorker,
): WorkerPort {
  const isOtherId = (): boolean => findAnswering().run.workerId !== workerId;
  const refusal = {
    accepted: false,
    refusal: WorkerRefusal.OtherIncarnation,
  } as const;
  return {
    startRun: order =>
      isOtherId()
        ? new ResultAsync(Promise.resolve(ok(refusal)))
        : findAnswering().port.startRun(order),
    stopRun: order =>
      isOtherId()
        ? new ResultAsync(Promise.resolve(ok(refusal)))
        : findAnswering().port.stopRun(order),
    renewLease: order => {
      if (isOtherId()) return new ResultAsync(Promise.resolve(ok(refusal)));
      const answering = findAnswering();
      return answering.port
        .renewLease(order)
        .map(reply =>
          answering.run.incarnation === incarnation ? reply : refusal,
        );
    },
    close: () => undefined,
  };
}

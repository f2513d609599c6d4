/** The port to a worker as a process sees it that can be suspended and killed. */
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type { Suspension } from '@cranberryturn/wire';
import type { WorkerPort } from '@cranberryturn/worker-gate';
import { ResultAsync } from 'neverthrow';

/**
 * Replies of the worker wait while the process is suspended; without them, renewals would go on. An order reaches the
 * worker after a delay, also when the process has been killed meanwhile.
 */
export function wrapWorker(
  suspension: Suspension,
  port: WorkerPort,
  timers: TimerService,
  chooseDelay: () => Milliseconds,
): WorkerPort {
  const send = <Reply, Failure>(
    order: () => ResultAsync<Reply, Failure>,
  ): ResultAsync<Reply, Failure> => {
    if (suspension.hasEnded)
      return new ResultAsync(new Promise<never>(() => undefined));
    const delay = chooseDelay();
    const reply =
      delay === 0
        ? order()
        : ResultAsync.fromSafePromise(sleep(timers, delay)).andThen(order);
    return suspension.receive(reply);
  };
  return {
    startRun: order => send(() => port.startRun(order)),
    stopRun: order => send(() => port.stopRun(order)),
    renewLease: order => send(() => port.renewLease(order)),
    close: () => {
      port.close();
    },
  };
}

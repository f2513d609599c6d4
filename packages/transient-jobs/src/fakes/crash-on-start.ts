/** Fault: tasks that crash each worker that starts them. */
import type { Milliseconds } from '@cranberryturn/types';
import type { StartRunOrder } from '@cranberryturn/worker-gate';

import type { FakeHost, JobsFixture } from './jobs-fixture.js';

const crashDelayMilliseconds = 30;
const restartMilliseconds = 3_000;

/** The starts of deadly tasks and the crashes that followed. */
export interface CrashRecord {
  /** Started deadly runs, as the task and the host. */
  readonly starts: string[];
  /** The crashes in order. */
  readonly crashes: { readonly at: Milliseconds; readonly host: string }[];
  /** Number of workers that are down now, and the highest number so far. */
  down: number;
  mostDown: number;
}

/**
 * Makes tasks crash the workers that start them; a worker is back 3 s later. `isDeadly` may depend on the host. With
 * `crashesAfterStop` a worker also crashes if the run was stopped meanwhile.
 */
export function crashOnStart(
  { timers, hosts }: Pick<JobsFixture, 'timers' | 'hosts'>,
  isDeadly: (order: StartRunOrder, host: FakeHost) => boolean,
  runMilliseconds: (order: StartRunOrder) => number = () => 100,
  crashesAfterStop = false,
): CrashRecord {
  const record: CrashRecord = {
    starts: [],
    crashes: [],
    down: 0,
    mostDown: 0,
  };

  const crashed = new Set<FakeHost['worker']>();

  const crash = (host: FakeHost): void => {
    crashed.add(host.worker);
    host.worker.crash();
    record.crashes.push({ at: timers.now(), host: host.name });
    record.down += 1;
    record.mostDown = Math.max(record.mostDown, record.down);
    timers.after(restartMilliseconds, () => {
      record.down -= 1;
      host.restartWorker();
      watch(host);
    });
  };

  const watch = (host: FakeHost): void => {
    const { worker } = host;
    worker.chooseRunMilliseconds = order => {
      if (!isDeadly(order, host)) return runMilliseconds(order);
      const { jobId, taskId, run } = order;
      const task = `${jobId}.${taskId}`;
      record.starts.push(`${task}@${host.name}`);
      timers.after(crashDelayMilliseconds, () => {
        if (host.worker !== worker) return;
        const isActive = worker.activeRuns.get(task)?.run === run;
        if (isActive || (crashesAfterStop && !crashed.has(worker))) crash(host);
      });
      return runMilliseconds(order);
    };
  };

  for (const host of hosts) watch(host);
  return record;
}

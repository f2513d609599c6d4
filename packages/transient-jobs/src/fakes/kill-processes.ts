/** Kills processes nearly at the same time. Each starts again after a time of its own. */
import { createRandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';
import type { ProcessEnd } from '@cranberryturn/wire';

import type { FakeCallers } from './fake-callers.js';
import { getItem } from './get-item.js';
import type { FakeDispatcher, FakeHost, JobsFixture } from './jobs-fixture.js';

const killSpreadMilliseconds: Milliseconds = 30;
const closeDelayMilliseconds: Milliseconds = 20;
const startDelayMilliseconds: Milliseconds = 1_500;
const reportDelayMilliseconds: Milliseconds = 1_500;
/** Monotonic clocks of processes: one that has just started, and that of a host that has been up for long. */
const clockStarts: readonly Milliseconds[] = [20, 1_000_000];

/** Faults of the processes that are killed. */
export interface KillOptions {
  readonly processEnd: ProcessEnd;
  readonly seed: number;
}

/** Kills the processes that run, and schedules their starts, and the reports of the workers to the new sidecars. */
export function killProcesses(
  { timers, dispatchers: allDispatchers }: JobsFixture,
  callers: FakeCallers,
  { processEnd, seed }: KillOptions,
  dispatchers: readonly FakeDispatcher[],
  hosts: readonly FakeHost[],
): void {
  const random = createRandomSource(seed);
  const chooseTime = (maximum: Milliseconds): Milliseconds =>
    random.below(maximum + 1);
  const chooseClock = (): Milliseconds =>
    getItem(clockStarts, random.below(clockStarts.length));
  for (const dispatcher of dispatchers) {
    const next = getItem(allDispatchers, random.below(allDispatchers.length));
    const closeDelay = chooseTime(closeDelayMilliseconds);
    const clockStart = chooseClock();
    const startDelay = chooseTime(startDelayMilliseconds);
    timers.after(chooseTime(killSpreadMilliseconds), () => {
      if (!dispatcher.isUp) return;
      callers.dispatcherCrashed(dispatcher, next);
      dispatcher.kill(processEnd, closeDelay);
      timers.after(startDelay, () => void dispatcher.start(clockStart));
    });
  }
  for (const host of hosts) {
    const closeDelay = chooseTime(closeDelayMilliseconds);
    const clockStart = chooseClock();
    const startDelay = chooseTime(startDelayMilliseconds);
    const reportDelay = chooseTime(reportDelayMilliseconds);
    timers.after(chooseTime(killSpreadMilliseconds), () => {
      if (!host.isUp) return;
      host.killSidecar(processEnd, closeDelay);
      timers.after(startDelay, () => {
        host.startSidecar(clockStart);
        timers.after(reportDelay, host.report);
      });
    });
  }
}

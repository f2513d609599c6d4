/** Counterpart of `busy-sidecar`: a stand-in dispatcher that sends tasks, and the target that runs them. */
import { startStandInTarget } from '@cranberryturn/stand-ins';
import { createSystemTimerService } from '@cranberryturn/timers';
import type { AttemptStart } from '@cranberryturn/types';

import {
  measuredService,
  createDispatcherIdentity,
} from '../parts/identities.js';
import { startStandInDispatcher } from '../parts/stand-in-dispatcher.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';
import { waitForCount } from './wait-for-count.js';

const concurrentAttempts = 8;
const answerBytes = 300;

/** Starts a dispatcher that sends `size` tasks, at most eight at a time. Its addresses are those of the dispatcher and the target. */
export async function startBusyDispatcher({
  size,
  seed,
}: ScenarioInput): Promise<ScenarioSide> {
  const timers = createSystemTimerService();
  const target = await startStandInTarget({
    targetId: 'worker-0',
    timers,
    seed,
  });
  let ended = 0;
  let next = 0;
  const startNext = (): void => {
    if (next >= size) return;
    dispatcher.startAttempt(composeAttempt(next));
    next += 1;
  };
  const dispatcher = await startStandInDispatcher(0, timers, () => {
    ended += 1;
    startNext();
  });
  return {
    addresses: [dispatcher.address, target.address],
    ready: dispatcher.waitForTarget,
    work: () => {
      for (let one = 0; one < concurrentAttempts; one += 1) startNext();
      return waitForCount(timers, () => ended, size);
    },
    traffic: () => noTraffic,
  };
}

function composeAttempt(number: number): AttemptStart {
  return {
    jobId: `job-${String(number).padStart(12, '0')}`,
    taskId: 'task-0',
    attempt: 1,
    epoch: 1,
    service: measuredService,
    dispatcher: createDispatcherIdentity(0).name,
    payload: JSON.stringify({ runMilliseconds: 0, answerBytes }),
    idempotent: false,
    remainingMilliseconds: 30_000,
  };
}

/** What a sidecar spends on each task, and what it keeps of it. */
import { createSystemTimerService, sleep } from '@cranberryturn/timers';
import type { AttemptStart } from '@cranberryturn/types';

import { startStandInTarget } from '@cranberryturn/stand-ins';
import { measuredService, nameDispatcher } from '../parts/identities.js';
import { startStandInDispatcher } from '../parts/stand-in-dispatcher.js';
import { startMeasuredSidecar } from '../parts/start-measured-sidecar.js';
import { WorkUnit } from '../reading.js';
import { FirstSide, type Scenario } from '../scenario.js';

const outstanding = 8;
const answerBytes = 300;
const noTraffic = { messages: 0, bytes: 0 };
const pollMilliseconds = 5;
const timers = createSystemTimerService();

/** A sidecar that runs tasks, against the number of tasks it has run and still remembers. */
export const sidecarStarts: Scenario = {
  name: 'sidecar-starts',
  role: 'sidecar',
  dimension: 'remembered tasks',
  description: 'a sidecar that has run this number of tasks, each task',
  sizes: [1_000, 4_000, 8_000, 16_000],
  unit: WorkUnit.Task,
  first: FirstSide.Counterpart,
  startCounterpart: async ({ size, seed }) => {
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
      work: async () => {
        for (let one = 0; one < outstanding; one += 1) startNext();
        while (ended < size) await sleep(timers, pollMilliseconds);
        return size;
      },
      traffic: () => noTraffic,
    };
  },
  startMeasured: ({ peers, seed, size }) => {
    const [dispatcher, target] = peers;
    if (dispatcher === undefined || target === undefined) {
      throw new Error('The counterpart gave too few addresses.');
    }
    const sidecar = startMeasuredSidecar({
      timers,
      seed,
      dispatchers: [dispatcher],
      target,
    });
    return Promise.resolve({
      addresses: [],
      ready: sidecar.waitForSessions,
      work: () => Promise.resolve(size),
      traffic: sidecar.traffic,
    });
  },
};

function composeAttempt(number: number): AttemptStart {
  return {
    jobId: `job-${String(number).padStart(12, '0')}`,
    taskId: 'task-0',
    attempt: 1,
    epoch: 1,
    service: measuredService,
    dispatcher: nameDispatcher(0).name,
    payload: JSON.stringify({ runMilliseconds: 0, answerBytes }),
    idempotent: true,
    remainingMilliseconds: 30_000,
  };
}

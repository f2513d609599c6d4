/** What an idle sidecar spends on its sessions with dispatchers. */
import { createSystemTimerService, sleep } from '@cranberryturn/timers';

import { startStandInDispatcher } from '../parts/stand-in-dispatcher.js';
import { startMeasuredSidecar } from '../parts/start-measured-sidecar.js';
import { WorkUnit } from '../reading.js';
import { FirstSide, type Scenario } from '../scenario.js';

const idleSeconds = 6;
const noTraffic = { messages: 0, bytes: 0 };
const timers = createSystemTimerService();

/** An idle sidecar against the number of dispatchers it holds sessions with. */
export const sidecarSessions: Scenario = {
  name: 'sidecar-sessions',
  role: 'sidecar',
  dimension: 'dispatchers',
  description: 'an idle sidecar, each second, against its dispatchers',
  sizes: [1, 4, 8, 16, 32],
  unit: WorkUnit.Second,
  first: FirstSide.Counterpart,
  startCounterpart: async ({ size }) => {
    const dispatchers = await Promise.all(
      Array.from({ length: size }, (_, number) =>
        startStandInDispatcher(number, timers, () => undefined),
      ),
    );
    return {
      addresses: dispatchers.map(one => one.address),
      ready: async () => {
        await Promise.all(dispatchers.map(one => one.waitForTarget()));
      },
      work: () => Promise.resolve(0),
      traffic: () => noTraffic,
    };
  },
  startMeasured: ({ peers, seed }) => {
    const [target = { address: '127.0.0.1', port: 1 }] = peers;
    const sidecar = startMeasuredSidecar({
      timers,
      seed,
      dispatchers: peers,
      target,
    });
    return Promise.resolve({
      addresses: [],
      ready: sidecar.waitForSessions,
      work: async () => {
        await sleep(timers, idleSeconds * 1_000);
        return idleSeconds;
      },
      traffic: sidecar.traffic,
    });
  },
};

/** Measures the product's sidecar without tasks. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { startMeasuredSidecar } from '../parts/start-measured-sidecar.js';
import type { ScenarioInput, ScenarioSide } from '../scenario.js';
import { waitMeasuredInterval, waitUntilIdle } from './idle.js';

const unusedTarget = { address: '127.0.0.1', port: 1 };

/** Starts a sidecar that opens a session with each peer. */
export function startIdleSidecar({
  peers,
  seed,
}: ScenarioInput): Promise<ScenarioSide> {
  const timers = createSystemTimerService();
  const sidecar = startMeasuredSidecar({
    timers,
    seed,
    dispatchers: peers,
    target: unusedTarget,
  });
  return Promise.resolve({
    addresses: [],
    ready: async () => {
      await sidecar.waitForSessions();
      await waitUntilIdle(timers);
    },
    work: () => waitMeasuredInterval(timers),
    traffic: sidecar.traffic,
  });
}

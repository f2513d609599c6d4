/** Measures the product's sidecar while it runs tasks. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { startMeasuredSidecar } from '../parts/start-measured-sidecar.js';
import type { ScenarioInput, ScenarioSide } from '../scenario.js';
import { waitForCount } from './wait-for-count.js';

/** Starts a sidecar; the first peer is its dispatcher, the second one its target. */
export function startBusySidecar({
  peers,
  seed,
  size,
}: ScenarioInput): Promise<ScenarioSide> {
  const timers = createSystemTimerService();
  const [dispatcher, target] = peers;
  if (dispatcher === undefined || target === undefined) {
    throw new Error(
      'The counterpart gave too few addresses; one of a dispatcher and one of a target are needed.',
    );
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
    work: () => waitForCount(timers, sidecar.countEnded, size),
    traffic: sidecar.traffic,
  });
}

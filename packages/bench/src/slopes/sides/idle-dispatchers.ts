/** Counterpart of `idle-sidecar`: stand-in dispatchers that send no tasks. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { startStandInDispatcher } from '../parts/stand-in-dispatcher.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

/** Starts `size` dispatchers, which are ready when the sidecar has announced itself to each. */
export async function startIdleDispatchers({
  size,
}: ScenarioInput): Promise<ScenarioSide> {
  const timers = createSystemTimerService();
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
}

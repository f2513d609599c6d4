/** Counterpart of the idle replica: control clients that only follow the configuration. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { startFollower } from '../parts/start-follower.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

/** Starts `size` clients that follow the replicas at the given peers. */
export function startManyFollowers({
  size,
  seed,
  peers,
}: ScenarioInput): Promise<ScenarioSide> {
  const timers = createSystemTimerService();
  for (let number = 0; number < size; number += 1) {
    startFollower(number, peers, timers, seed);
  }
  return Promise.resolve({
    addresses: [],
    ready: () => Promise.resolve(),
    work: () => Promise.resolve(0),
    traffic: () => noTraffic,
  });
}

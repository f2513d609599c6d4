/** Sidecars that only keep their sessions. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { startFakeSidecars } from '../parts/start-fake-sidecars.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

/** Starts `size` sidecars that dial the dispatcher under measure. */
export function startManySidecars({
  size,
  seed,
  peers,
}: ScenarioInput): Promise<ScenarioSide> {
  const [dispatcher] = peers;
  if (dispatcher === undefined) throw new Error('No dispatcher to dial.');
  startFakeSidecars(size, dispatcher, createSystemTimerService(), seed);
  return Promise.resolve({
    addresses: [],
    ready: () => Promise.resolve(),
    work: () => Promise.resolve(0),
    traffic: () => noTraffic,
  });
}

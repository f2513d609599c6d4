/** Counterpart of the idle dispatcher: fake sidecars that only maintain their sessions. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { startFakeSidecars } from '../parts/start-fake-sidecars.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

/** Starts `size` sidecars that open a session with the measured dispatcher. */
export function startManySidecars({
  size,
  seed,
  peers,
}: ScenarioInput): Promise<ScenarioSide> {
  const [dispatcher] = peers;
  if (dispatcher === undefined)
    throw new Error('The measured dispatcher gave no address for sidecars.');
  startFakeSidecars(size, dispatcher, createSystemTimerService(), seed);
  return Promise.resolve({
    addresses: [],
    ready: () => Promise.resolve(),
    work: () => Promise.resolve(0),
    traffic: () => noTraffic,
  });
}

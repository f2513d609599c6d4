/** What the runtime needs before any code of ours runs. */
import { createSystemTimerService, sleep } from '@cranberryturn/timers';

import { WorkUnit } from '../reading.js';
import { FirstSide, type Scenario } from '../scenario.js';

const idleSeconds = 3;
const timers = createSystemTimerService();

/** A process that holds a block of this number of mebibytes, which checks the measurement itself. */
export const heldMemory: Scenario = {
  name: 'held-memory',
  role: 'bench',
  dimension: 'mebibytes held',
  description: 'a process that only holds memory; checks the measurement',
  sizes: [0, 8, 32, 64],
  unit: WorkUnit.Second,
  first: FirstSide.Measured,
  startMeasured: ({ size }) => {
    const held = Buffer.alloc(size * 1_048_576, 1);
    return Promise.resolve({
      addresses: [],
      ready: () => Promise.resolve(),
      work: async () => {
        await sleep(timers, idleSeconds * 1_000);
        return held.length === size * 1_048_576 ? idleSeconds : 0;
      },
      traffic: () => ({ messages: 0, bytes: 0 }),
    });
  },
};

/** Measures a bare process that holds a block of memory: the baseline of the runtime. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { noTraffic, type ScenarioSide } from '../scenario.js';
import { waitMeasuredInterval } from './idle.js';

const bytesPerMebibyte = 1_048_576;

/** Allocates and fills `size` mebibytes. */
export function holdMemory({
  size,
}: {
  readonly size: number;
}): Promise<ScenarioSide> {
  const block = Buffer.alloc(size * bytesPerMebibyte, 1);
  return Promise.resolve({
    addresses: [],
    ready: () => Promise.resolve(),
    work: async () => {
      const seconds = await waitMeasuredInterval(createSystemTimerService());
      // The use of the block keeps it from being collected during the measurement.
      return block.length >= 0 ? seconds : 0;
    },
    traffic: () => noTraffic,
  });
}

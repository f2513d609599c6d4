/**
 * Compares ways to admit jobs while capacity is scarce, under the manual clock.
 *
 * Usage: `node packages/transient-jobs/dist/measures/measure-scarcity.js [--scale 1] [--burst 2.3] [--seed 1]...
 * [--scarcity '{}'] [--callers-return]`. `--scarcity` enables admission under scarcity, with changed settings as JSON.
 */
import { parseArgs } from 'node:util';

import {
  defaultScarcitySettings,
  type ScarcitySettings,
} from '../scarcity/scarcity-settings.js';
import { formatOutcomes } from './print-outcomes.js';
import { runScarceLoad } from './run-scarce-load.js';
import { burstEnd, burstStart, defaultBurstFactor } from './scarce-load.js';

const { values } = parseArgs({
  options: {
    scale: { type: 'string', default: '1' },
    burst: { type: 'string', default: String(defaultBurstFactor) },
    seed: { type: 'string', multiple: true, default: ['1'] },
    scarcity: { type: 'string' },
    'callers-return': { type: 'boolean', default: false },
  },
});
const scarcity =
  values.scarcity === undefined
    ? undefined
    : {
        ...defaultScarcitySettings,
        ...(JSON.parse(values.scarcity) as Partial<ScarcitySettings>),
      };

for (const seed of values.seed) {
  const { outcomes, fixture } = await runScarceLoad({
    seed: Number(seed),
    scale: Number(values.scale),
    burstFactor: Number(values.burst),
    callersReturn: values['callers-return'],
    scarcity,
  });
  const burst = outcomes.filter(
    ({ arrival: { at } }) => at >= burstStart && at < burstEnd,
  );
  const rest = outcomes.filter(one => !burst.includes(one));
  process.stdout.write(
    `seed ${seed}, violated invariants ${String(fixture.violations.length)}\n` +
      `during the burst\n${formatOutcomes(burst)}\n` +
      `before and after\n${formatOutcomes(rest)}\n`,
  );
}
process.exit();

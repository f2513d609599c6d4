/**
 * Compares ways to admit jobs while capacity is scarce, under the manual clock.
 *
 * Usage: `node packages/transient-jobs/dist/measures/measure-scarcity.js SCALE SEED...`
 */
import { formatOutcomes } from './print-outcomes.js';
import { runScarceLoad } from './run-scarce-load.js';
import { burstEnd, burstStart } from './scarce-load.js';

const [scaleText = '1', ...seedTexts] = process.argv.slice(2);
const seeds = seedTexts.length > 0 ? seedTexts.map(Number) : [1];
const callersReturn = process.env['CALLERS_RETURN'] === '1';

for (const seed of seeds) {
  const { outcomes, fixture } = await runScarceLoad({
    seed,
    scale: Number(scaleText),
    callersReturn,
  });
  const burst = outcomes.filter(
    ({ arrival: { at } }) => at >= burstStart && at < burstEnd,
  );
  const rest = outcomes.filter(one => !burst.includes(one));
  process.stdout.write(
    `seed ${String(seed)}, violations ${String(fixture.violations.length)}\n` +
      `during the burst\n${formatOutcomes(burst)}\n` +
      `before and after\n${formatOutcomes(rest)}\n`,
  );
}
process.exit();

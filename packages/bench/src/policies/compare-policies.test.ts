import test from 'ava';

import { boundP99 } from './compare-policies.js';
import { createProductPolicy } from './product-policy.js';
import { runScenario } from './run-scenario.js';
import { scenarios } from './scenarios.js';

const seed = 20_261_203;
const productQueue = { queueLimit: 4, pushesCredits: false };

function runProduct(name: string) {
  const scenario = scenarios.find(one => one.name === name);
  if (scenario === undefined) throw new Error(`No scenario "${name}".`);
  return runScenario(scenario, createProductPolicy, seed, productQueue);
}

for (const name of ['calm', 'calm, four data centres']) {
  test(`targets hold: ${name} (seed ${String(seed)})`, t => {
    const result = runProduct(name);
    t.true(result.p50 <= 1.05, `p50 ${String(result.p50)}`);
    t.true(result.p99 <= 1.5, `p99 ${String(result.p99)}`);
    t.true(result.wastedShare <= 0.02, `wasted ${String(result.wastedShare)}`);
    t.true(result.messagesPerTask <= 2.2);
    t.is(result.failed + result.refused + result.open, 0);
    t.is(result.doubleStarts, 0);
  });
}

test(`declared run times order the queue: jobs of 20 (seed ${String(seed)})`, t => {
  const declared = runProduct('jobs of 20, declared');
  t.true(declared.p50 <= 1.05, `p50 ${String(declared.p50)}`);
  t.true(declared.p99 <= 1.5, `p99 ${String(declared.p99)}`);
  t.true(declared.messagesPerTask <= 2.2);
  t.is(declared.failed + declared.refused + declared.open, 0);
  t.is(declared.doubleStarts, 0);
});

for (const name of [
  'jobs of 20',
  'jobs of 20, declared',
  'register requests',
  'register requests, misdeclared',
  'booking requests',
]) {
  test(`few messages are wasted: ${name} (seed ${String(seed)})`, t => {
    const result = runProduct(name);
    t.true(result.wastedShare <= 0.02, `wasted ${String(result.wastedShare)}`);
    t.true(result.messagesPerTask <= 2.2);
  });
}

test(`no policy beats the oracle (seed ${String(seed)})`, t => {
  for (const scenario of scenarios) {
    const bound = boundP99(scenario, seed);
    if (bound === undefined) continue;
    const { p99 } = runProduct(scenario.name);
    t.true(p99 >= bound, `${scenario.name}: ${String(p99)} ${String(bound)}`);
  }
});

for (const name of ['one fails everything', 'one dies']) {
  test(`targets hold: ${name} (seed ${String(seed)})`, t => {
    const result = runProduct(name);
    t.true(result.p99 <= 2, `p99 ${String(result.p99)}`);
    t.true(result.wastedShare <= 0.1, `wasted ${String(result.wastedShare)}`);
    t.is(result.doubleStarts, 0);
    t.is(result.open, 0);
  });
}

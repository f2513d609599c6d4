import { DecisionKind, Started } from '@cranberryturn/types';
import test from 'ava';

import { ViolationKind } from '../checker/violation.js';
import { computeOracleP99 } from './compare-policies.js';
import { createEventClock } from './event-clock.js';
import { createProductPolicy } from './product-policy.js';
import { runScenario } from './run-scenario.js';
import { ScenarioLog } from './scenario-log.js';
import { scenarios } from './scenarios.js';

const seed = 20_261_203;
const productSettings = { queueLimit: 4, shouldPushCredits: false };

function runProduct(name: string) {
  const scenario = scenarios.find(one => one.name === name);
  if (scenario === undefined) throw new Error(`No scenario "${name}".`);
  return runScenario(scenario, createProductPolicy, seed, productSettings);
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
  test(`the share of wasted messages is bounded: ${name} (seed ${String(seed)})`, t => {
    const result = runProduct(name);
    t.true(result.wastedShare <= 0.02, `wasted ${String(result.wastedShare)}`);
    t.true(result.messagesPerTask <= 2.2);
  });
}

test(`no policy beats the oracle (seed ${String(seed)})`, t => {
  for (const scenario of scenarios) {
    const bound = computeOracleP99(scenario, seed);
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

test(`reported usage corrects misdeclared sizes (seed ${String(seed)})`, t => {
  const result = runProduct('misdeclared sizes');
  t.true(result.p50 <= 1.05, `p50 ${String(result.p50)}`);
  t.true(result.wastedShare <= 0.02, `wasted ${String(result.wastedShare)}`);
  t.is(result.failed + result.refused + result.open, 0);
  t.deepEqual(result.violations, []);
});

for (const [name, open] of [
  ['a whole rack dies', 0],
  ['two dispatchers die', 60],
  ['one fails everything, burst', 0],
  ['jobs of 20, burst cancelled', 0],
] as const) {
  test(`invariants hold: ${name} (seed ${String(seed)})`, t => {
    const result = runProduct(name);
    t.deepEqual(result.violations, []);
    t.is(result.doubleStarts, 0);
    t.true(result.open <= open, `open ${String(result.open)}`);
    t.true(result.answered > 400);
    t.true(result.wastedShare <= 0.1, `wasted ${String(result.wastedShare)}`);
  });
}

test('the scenario log reveals a started task that was reported as not started', t => {
  const log = new ScenarioLog(createEventClock());
  const key = { jobId: 'job', taskId: 'task', attempt: 1, epoch: 1 };
  const target = { target: 'worker-1', incarnation: 'run-1' };
  log.jobAdmitted('dispatcher-1', {
    jobId: 'job',
    service: 'register',
    team: 'planning',
    tasks: [{ taskId: 'task', payload: '1' }],
    idempotent: false,
    deadlineMilliseconds: 1_000,
  });
  const kind = DecisionKind.Started;
  log.record('worker-1', { kind, ...key, ...target, idempotent: false });
  log.taskEnded('dispatcher-1', 'job', 'task', false, Started.No);
  t.deepEqual(
    log.check().map(one => one.kind),
    [ViolationKind.FalseNotStarted],
  );
});

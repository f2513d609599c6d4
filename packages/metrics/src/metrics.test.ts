import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import {
  Counter,
  createDistributionRecorder,
  createMetrics,
  Distribution,
  Gauge,
  WastedMessage,
} from './index.js';

function createTestMetrics() {
  const timers = createManualTimerService();
  const metrics = createMetrics({
    role: 'dispatcher',
    process: 'entry-1',
    timers,
  });
  return { timers, metrics };
}

test('the exposed text contains every counter, including those at zero', async t => {
  const { metrics } = createTestMetrics();
  let sessions = 1;
  metrics.registerGauge(Gauge.Sessions, () => sessions);
  sessions = 3;
  metrics.count(Counter.JobsAdmitted);
  metrics.count(Counter.TasksStarted, 20);
  metrics.countWasted(WastedMessage.RefusedStart, 2);
  metrics.registerWastedCount(WastedMessage.RefusedStart, () => 3);
  metrics.countMessage('sidecar', 100);
  metrics.countMessage('sidecar', 50);
  metrics.countMessage('control', 10);
  metrics.record(Distribution.RunMilliseconds, 50, 'lookup');
  const text = await metrics.expose();
  const stable = text
    .split('\n')
    .filter(line => !/resident_memory|processor_seconds/.test(line));
  t.snapshot(stable.join('\n'));
  t.regex(text, /cranberry_resident_memory_bytes\{.*\} \d{6,}/);
});

test('two sets of metrics in one process do not share counts', t => {
  const [left, right] = [
    createTestMetrics().metrics,
    createTestMetrics().metrics,
  ];
  left.count(Counter.JobsFailed);
  t.is(right.read().counters.jobs_failed, 0);
  t.is(left.read().counters.jobs_failed, 1);
});

test('quantiles are accurate to about one percent over six orders of magnitude', t => {
  const timers = createManualTimerService();
  for (const scale of [0.01, 1, 100, 1_000]) {
    const recorder = createDistributionRecorder(timers);
    for (let value = 1; value <= 1_000; value += 1) {
      recorder.record(value * scale);
    }
    const { p50, p99, maximum, sum, count } = recorder.summarize();
    t.true(Math.abs(p50 / (500 * scale) - 1) < 0.011, String(p50));
    t.true(Math.abs(p99 / (990 * scale) - 1) < 0.011, String(p99));
    t.true(Math.abs(maximum / (1_000 * scale) - 1) < 0.011, String(maximum));
    t.true(Math.abs(sum / (500_500 * scale) - 1) < 1e-9);
    t.is(count, 1_000);
  }
});

test('values out of range are clamped', t => {
  const recorder = createDistributionRecorder(createManualTimerService());
  for (const value of [-5, 1e12]) recorder.record(value);
  const { maximum, count, p50 } = recorder.summarize();
  t.is(count, 2);
  t.is(p50, 0);
  t.true(maximum >= 3_600_000 && maximum < 3_700_000);
});

test('old values are discarded from the quantiles but not from the count', async t => {
  const timers = createManualTimerService();
  const recorder = createDistributionRecorder(timers);
  recorder.record(900);
  await timers.advance(60_000);
  t.is(recorder.summarize().recentCount, 1);
  recorder.record(10);
  await timers.advance(60_000);
  t.is(recorder.summarize().recentCount, 2);
  const later = recorder.summarize();
  t.is(later.recentCount, 1);
  t.true(later.maximum < 11);
  t.is(later.count, 2);
});

import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { watchStartReadiness } from './start-readiness.js';

function startWatch() {
  const timers = createManualTimerService();
  const state = { configuration: false, workers: 0, paused: false };
  const readiness = watchStartReadiness({
    timers,
    hasConfiguration: () => state.configuration,
    countWorkers: () => state.workers,
    isPaused: () => state.paused,
  });
  return { timers, state, readiness };
}

test('a request during the start waits until the number of workers has settled', async t => {
  const { timers, state, readiness } = startWatch();
  let isServed = false;
  void readiness.whenReady().then(() => (isServed = true));
  state.configuration = true;
  await timers.advance(100);
  state.workers = 1;
  await timers.advance(50);
  state.workers = 5;
  await timers.advance(50);
  t.false(isServed);
  await timers.advance(50);
  t.true(isServed);
  t.true(readiness.isReady());
});

test('a request waits for at most one second', async t => {
  const { timers, readiness } = startWatch();
  let isAnswered = false;
  void readiness.whenReady().then(() => (isAnswered = true));
  await timers.advance(950);
  t.false(isAnswered);
  await timers.advance(100);
  t.true(isAnswered);
  t.false(readiness.isReady());
});

test('no request waits after the start phase', async t => {
  const { timers, state, readiness } = startWatch();
  await timers.advance(5_000);
  let isAnswered = false;
  void readiness.whenReady().then(() => (isAnswered = true));
  await timers.settle();
  t.true(isAnswered);
  state.configuration = true;
  state.workers = 1;
  t.true(readiness.isReady());
});

test('a request waits during the pause after a suspension', async t => {
  const { timers, state, readiness } = startWatch();
  await timers.advance(5_000);
  state.paused = true;
  let isAnswered = false;
  void readiness.whenReady().then(() => (isAnswered = true));
  await timers.advance(50);
  t.false(isAnswered);
  state.paused = false;
  await timers.advance(50);
  t.true(isAnswered);
});

/** Runs of a dispatcher that is no longer heard end before its callers send their jobs again, whatever fails meanwhile. */
import { type Milliseconds, RunOutcome } from '@cranberryturn/types';
import { ToWorkerKind } from '@cranberryturn/wire';
import test from 'ava';

import { type GateFixture, startGateFixture } from './fakes/gate-fixture.js';

/** Callers send a job again this long after its connection broke, to any dispatcher. */
const resendMilliseconds: Milliseconds = 1_300;
const slowClockRate = 0.98;
const tickMilliseconds: Milliseconds = 5;
const idleMilliseconds: Milliseconds = 60_000;
const longRunMilliseconds: Milliseconds = 10_000;

test('a run of a silent dispatcher is not active when its callers send again, whenever the sidecar freezes', async t => {
  const late: string[] = [];
  for (const freezeAfter of listMoments(0, 1_200, 50)) {
    const fixture = await startWithSlowClock(1);
    fixture.place({ jobId: 'job' });
    await fixture.timers.advance(500);
    t.deepEqual(fixture.listStarts(), ['job/1']);
    fixture.isRenewingLease = false;
    await fixture.timers.advance(freezeAfter);
    fixture.freezeSidecar();
    const found = await findLateRun(fixture, 'job');
    if (found !== undefined)
      late.push(`freezes after ${String(freezeAfter)} ms: ${found}`);
    fixture.gate.kill();
  }
  t.deepEqual(late, []);
});

test('a start order that is carried out late starts no run that is active when callers send again', async t => {
  const late: string[] = [];
  let starts = 0;
  for (const startAfter of listMoments(100, 1_100, 50)) {
    for (const delay of listMoments(0, 690, 230)) {
      const fixture = await startWithSlowClock(1);
      fixture.worker.runMilliseconds = startAfter;
      fixture.place({ jobId: 'running' });
      fixture.place({ jobId: 'queued' });
      await fixture.timers.advance(tickMilliseconds);
      fixture.isRenewingLease = false;
      fixture.worker.runMilliseconds = longRunMilliseconds;
      await fixture.timers.advance(startAfter - 2 * tickMilliseconds);
      // From now on only the start order reaches the worker.
      fixture.worker.nextStartDelayMilliseconds = delay;
      fixture.freezeSidecar();
      const found = await findLateRun(fixture, 'queued');
      if (found !== undefined)
        late.push(
          `sent after ${String(startAfter)} ms, ${String(delay)} ms late: ${found}`,
        );
      if (fixture.listStarts().includes('queued/1')) starts += 1;
      fixture.gate.kill();
    }
  }
  t.deepEqual(late, []);
  t.true(starts > 0);
});

test('runs of a live dispatcher do not keep those of a silent one active when the sidecar freezes', async t => {
  const late: string[] = [];
  for (const freezeAfter of listMoments(0, 1_200, 50)) {
    const fixture = await startSharedWorker();
    t.deepEqual(fixture.listStarts(), ['silent/1', 'live/1']);
    await fixture.timers.advance(freezeAfter);
    fixture.freezeSidecar();
    const found = await findLateRun(fixture, 'silent');
    if (found !== undefined)
      late.push(`freezes after ${String(freezeAfter)} ms: ${found}`);
    fixture.gate.kill();
  }
  t.deepEqual(late, []);
});

// Leases never become shorter: the run took over the one that the worker had from a dispatcher that was heard later.
test('a queued run of a silent dispatcher does not start under the longer lease of a run before it', async t => {
  const late: string[] = [];
  for (const startAfter of listMoments(50, 850, 100)) {
    const fixture = await startWithSlowClock(1, 2);
    const { timers, worker } = fixture;
    worker.runMilliseconds = startAfter;
    fixture.dispatchers[1]?.place({ jobId: 'live' });
    await timers.advance(tickMilliseconds);
    worker.runMilliseconds = longRunMilliseconds;
    fixture.place({ jobId: 'silent' });
    await timers.advance(tickMilliseconds);
    fixture.isRenewingLease = false;
    await timers.advance(startAfter + 2 * tickMilliseconds);
    fixture.freezeSidecar();
    const found = await findLateRun(fixture, 'silent');
    if (found !== undefined)
      late.push(`queued for ${String(startAfter)} ms: ${found}`);
    fixture.gate.kill();
  }
  t.deepEqual(late, []);
});

test('a run that was held for its echo starts once its dispatcher is heard again', async t => {
  const fixture = await startWithSlowClock(1, 2);
  const { timers, worker } = fixture;
  worker.runMilliseconds = 300;
  fixture.dispatchers[1]?.place({ jobId: 'live' });
  await timers.advance(tickMilliseconds);
  worker.runMilliseconds = longRunMilliseconds;
  fixture.place({ jobId: 'held' });
  await timers.advance(tickMilliseconds);
  fixture.isRenewingLease = false;
  await timers.advance(335);
  t.false(worker.activeRuns.has('held.0.0.0'));
  fixture.isRenewingLease = true;
  await timers.advance(100);
  t.true(worker.activeRuns.has('held.0.0.0'));
  fixture.gate.kill();
});

test('a lost stop order does not leave a run of a silent dispatcher active beside those of a live one', async t => {
  const fixture = await startSharedWorker();
  t.deepEqual(fixture.listStarts(), ['silent/1', 'live/1']);
  fixture.worker.shouldLoseNextStop = true;
  t.is(await findLateRun(fixture, 'silent'), undefined);
  fixture.gate.kill();
});

test('the first start order after an idle minute is not valid for longer because the clock of the worker is slow', async t => {
  const late: string[] = [];
  for (const delay of listMoments(0, 1_800, 300)) {
    const fixture = await startWithSlowClock(1);
    await fixture.timers.advance(idleMilliseconds);
    fixture.isRenewingLease = false;
    fixture.place({ jobId: 'job' });
    await freezeAtNextStart(fixture, delay);
    const found = await findLateRun(fixture, 'job');
    if (found !== undefined) late.push(`${String(delay)} ms late: ${found}`);
    fixture.gate.kill();
  }
  t.deepEqual(late, []);
});

test('the first run after an idle minute starts although the clock of the worker is slow', async t => {
  const fixture = await startWithSlowClock(1);
  await fixture.timers.advance(idleMilliseconds);
  fixture.place({ jobId: 'job' });
  await fixture.timers.advance(100);
  t.deepEqual(fixture.listStarts(), ['job/1']);
  fixture.gate.kill();
});

// A stop without an answer left the run alive through the lease that was renewed for the other runs of its worker.
test('a run whose stop orders are all lost is not active when its caller sends the job again', async t => {
  const late: string[] = [];
  for (const startDelay of [undefined, 100, 400, 700]) {
    for (const runBefore of listMoments(100, 800, 100)) {
      const fixture = await startWithSlowClock(3, 2);
      const { timers, worker } = fixture;
      fixture.dispatchers[1]?.place({ jobId: 'other' });
      await timers.advance(100);
      worker.nextStartDelayMilliseconds = startDelay;
      fixture.place({ jobId: 'stopped' });
      await timers.advance(runBefore);
      worker.stopsToLose = Infinity;
      sendStop(fixture, 'stopped');
      const until = timers.now() + resendMilliseconds;
      const watchUntil = until + resendMilliseconds;
      while (timers.now() < watchUntil) {
        await timers.advance(tickMilliseconds);
        const isActive = worker.activeRuns.has('stopped.0.0.0');
        if (timers.now() < until || !isActive) continue;
        late.push(
          `stopped after ${String(runBefore)} ms, start delayed by ${String(startDelay)}`,
        );
        break;
      }
      fixture.gate.kill();
    }
  }
  t.deepEqual(late, []);
});

test('a worker whose stop orders were all lost starts runs again once the lease has ended', async t => {
  const fixture = await startWithSlowClock(2);
  const { timers, worker, ends } = fixture;
  worker.nextStartDelayMilliseconds = 5_000;
  worker.stopsToLose = Infinity;
  fixture.place({ jobId: 'stopped' });
  await timers.advance(300);
  sendStop(fixture, 'stopped');
  await timers.advance(resendMilliseconds);
  t.deepEqual(
    ends.map(({ jobId, outcome }) => [jobId, outcome]),
    [['stopped', RunOutcome.NotStarted]],
  );
  fixture.place({ jobId: 'next' });
  await timers.advance(100);
  t.deepEqual(fixture.listStarts(), ['next/1']);
  fixture.gate.kill();
});

test('three stop orders that are lost in a row cost the other runs of the worker nothing', async t => {
  const fixture = await startWithSlowClock(2, 2);
  const { timers, worker } = fixture;
  fixture.place({ jobId: 'stopped' });
  fixture.dispatchers[1]?.place({ jobId: 'other' });
  await timers.advance(500);
  worker.stopsToLose = 3;
  sendStop(fixture, 'stopped');
  await timers.advance(3_000);
  t.deepEqual([...worker.activeRuns.keys()], ['other.0.0.0']);
  fixture.gate.kill();
});

/** Ends a job of the first dispatcher, as after an answer to its caller. */
function sendStop({ send }: GateFixture, jobId: string): void {
  send({ kind: ToWorkerKind.StopRuns, jobId, taskIds: ['0.0.0'] });
}

/** A worker with a slow clock, whose runs end by themselves only after the test. */
async function startWithSlowClock(
  processors: number,
  dispatchers = 1,
): Promise<GateFixture> {
  const fixture = await startGateFixture(processors, false, {
    dispatchers,
    clockRate: slowClockRate,
  });
  fixture.worker.runMilliseconds = longRunMilliseconds;
  return fixture;
}

/** A worker with one run each of a dispatcher that has just fallen silent and of one that goes on. */
async function startSharedWorker(): Promise<GateFixture> {
  const fixture = await startWithSlowClock(2, 2);
  const [silent, live] = fixture.dispatchers;
  silent?.place({ jobId: 'silent' });
  await fixture.timers.advance(tickMilliseconds);
  live?.place({ jobId: 'live' });
  await fixture.timers.advance(500);
  fixture.isRenewingLease = false;
  return fixture;
}

/** Delays the next start order, and freezes the sidecar once it has sent that order. */
async function freezeAtNextStart(
  { timers, worker, freezeSidecar }: GateFixture,
  delay: Milliseconds,
): Promise<void> {
  worker.nextStartDelayMilliseconds = delay;
  const giveUpAt = timers.now() + 2 * resendMilliseconds;
  while (
    worker.nextStartDelayMilliseconds !== undefined &&
    timers.now() < giveUpAt
  )
    await timers.advance(1);
  freezeSidecar();
}

/** Describes the run of a job of the first dispatcher that is active although callers may have sent the job again. */
async function findLateRun(
  { timers, worker, dispatchers }: GateFixture,
  jobId: string,
): Promise<string | undefined> {
  const sentEcho = dispatchers[0]?.sentEcho ?? 0;
  const watchUntil = timers.now() + 3 * resendMilliseconds;
  let lastActiveAt = -Infinity;
  while (timers.now() < watchUntil) {
    await timers.advance(tickMilliseconds);
    for (const run of worker.activeRuns.values())
      if (run.jobId === jobId) lastActiveAt = timers.now();
  }
  if (lastActiveAt - sentEcho <= resendMilliseconds) return undefined;
  const startedAt = worker.starts.find(run => run.jobId === jobId)?.startedAt;
  return `started ${String((startedAt ?? NaN) - sentEcho)} ms after the last echo, active until ${String(lastActiveAt - sentEcho)} ms`;
}

function listMoments(
  first: Milliseconds,
  last: Milliseconds,
  step: Milliseconds,
): readonly Milliseconds[] {
  const count = Math.floor((last - first) / step) + 1;
  return Array.from({ length: count }, (_, index) => first + index * step);
}

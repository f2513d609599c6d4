/** A run is not active beside its repetition when the processes of its task end and come back (docs/decisions/ended-runs.md). */
import type { Milliseconds } from '@cranberryturn/types';
import { ProcessEnd } from '@cranberryturn/wire';
import test from 'ava';

import { FakeCallers, resendMilliseconds } from './fakes/fake-callers.js';
import { first, getItem } from './fakes/get-item.js';
import {
  createJob,
  type FakeHost,
  type JobsFixture,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { watchEndedCallers } from './fakes/watch-ended-callers.js';

const tickMilliseconds: Milliseconds = 5;
/** Time that the worker takes for a stop and at the end of a lease; its clock adds up to 5 ms. */
const stopMilliseconds: Milliseconds = 45;
const settledMilliseconds: Milliseconds = 4_000;
const processEnds = Object.values(ProcessEnd);
/** A process that has just started, as the one before it had, and a host that has been up for long. */
const clockStarts: readonly Milliseconds[] = [20, 1_000_000];

interface Play extends JobsFixture {
  readonly callers: FakeCallers;
  /** The host at which the first run is active. */
  readonly host: FakeHost;
}

/** Starts two dispatchers, and the run of the first caller at one of two workers. */
async function startPlay(
  options: {
    readonly clockRate?: number;
    readonly startDelay?: Milliseconds;
    /** Time between the periodic checks of the sidecars and those of the first dispatcher. */
    readonly phase?: Milliseconds;
  } = {},
): Promise<Play> {
  const { clockRate, startDelay, phase } = options;
  const fixture = await startJobsFixture({
    dispatchers: 2,
    workers: 2,
    processors: 2,
    clockRate,
  });
  const { timers, hosts, dispatchers } = fixture;
  if (phase !== undefined) {
    await timers.advance(phase);
    await first(dispatchers).restart();
    await timers.advance(1_000);
  }
  for (const { worker } of hosts) {
    worker.runMilliseconds = settledMilliseconds * 2;
    worker.stopMilliseconds = stopMilliseconds;
    worker.expiryMilliseconds = stopMilliseconds;
    worker.nextStartDelayMilliseconds = startDelay;
  }
  // The second job fills what the first one leaves free at both workers.
  const jobs = [
    createJob('first', 1, { deadlineMilliseconds: 20_000 }),
    createJob('second', 3, { deadlineMilliseconds: 20_000 }),
  ];
  const callers = new FakeCallers(fixture, jobs);
  watchEndedCallers(fixture, callers);
  callers.submit(0, first(dispatchers));
  await timers.advance(startDelay === undefined ? 400 : 10);
  const host = hosts.find(
    ({ worker }) =>
      worker.activeRuns.size > 0 ||
      worker.nextStartDelayMilliseconds !== startDelay,
  );
  if (host === undefined) throw new Error('no run has started');
  return { ...fixture, callers, host };
}

/** Kills the first dispatcher, whose callers come back to the second one, and starts it again. */
function restartDispatcher(
  { timers, dispatchers, callers }: Play,
  end: ProcessEnd,
  delay: Milliseconds,
  clockStart: Milliseconds,
): void {
  const dispatcher = first(dispatchers);
  callers.dispatcherCrashed(dispatcher, getItem(dispatchers, 1));
  dispatcher.kill(end, 0);
  timers.after(delay, () => void dispatcher.start(clockStart));
}

/** Kills the sidecar of the first run and starts it again; its worker runs on, and reports to it after a delay. */
function restartSidecar(
  { timers, host }: Play,
  end: ProcessEnd,
  delay: Milliseconds,
  reportDelay: Milliseconds,
  clockStart: Milliseconds,
): void {
  host.killSidecar(end, 0);
  timers.after(delay, () => {
    host.startSidecar(clockStart);
    timers.after(reportDelay, host.report);
  });
}

/** Plays until all has settled. Returns by how much the lease of the worker rose while a run of the former sidecar was active there. */
async function settle({ timers, host }: Play): Promise<Milliseconds> {
  const { worker } = host;
  const until = timers.now() + settledMilliseconds;
  const former = new Set(worker.starts);
  let rise = 0;
  // Orders that were on their way.
  await timers.advance(tickMilliseconds);
  while (timers.now() < until) {
    const before = worker.leaseEndsAt;
    const activeBefore = [...worker.activeRuns.values()];
    await timers.advance(tickMilliseconds);
    if (activeBefore.some(run => former.has(run)))
      rise = Math.max(rise, worker.leaseEndsAt - before);
  }
  return Math.round(rise);
}

function countStarts({ hosts }: JobsFixture, jobId: string): number {
  return hosts
    .flatMap(({ worker }) => worker.starts)
    .filter(run => run.jobId === jobId).length;
}

test('the next process of a sidecar renews no run of the former one, and takes no other run beside it', async t => {
  for (const end of processEnds) {
    for (const clockStart of clockStarts) {
      for (const delay of [100, 500, 900]) {
        for (const stopsToLose of [0, Infinity]) {
          const play = await startPlay();
          restartSidecar(play, end, delay, 0, clockStart);
          play.host.worker.stopsToLose = stopsToLose;
          play.timers.after(delay, () => {
            play.callers.submit(1, getItem(play.dispatchers, 1));
          });
          t.is(await settle(play), 0);
          t.deepEqual(play.violations, []);
          t.is(countStarts(play, 'first'), 2);
          t.is(countStarts(play, 'second'), 3);
        }
      }
    }
  }
});

test('a start order that outlives the process of its sidecar starts no run beside the repetition', async t => {
  let lateStarts = 0;
  for (const startDelay of [30, 200, 500, 800, 1_100, 1_400]) {
    for (const delay of [20, 300, 700]) {
      const play = await startPlay({ startDelay });
      const { worker } = play.host;
      for (const one of play.hosts)
        one.worker.nextStartDelayMilliseconds = undefined;
      restartSidecar(play, ProcessEnd.Reset, delay, 100, 20);
      await settle(play);
      t.deepEqual(play.violations, []);
      if (worker.starts.length > 0) lateStarts += 1;
    }
  }
  t.true(lateStarts > 0);
});

test('runs of a dispatcher that comes back under its name are not renewed by its next process', async t => {
  for (const end of processEnds) {
    for (const clockStart of clockStarts) {
      for (const delay of [20, 300, 900]) {
        const play = await startPlay();
        const dispatcher = first(play.dispatchers);
        play.host.worker.stopsToLose = Infinity;
        restartDispatcher(play, end, delay, clockStart);
        play.timers.after(delay + 100, () => {
          play.callers.submit(1, dispatcher);
        });
        await settle(play);
        t.deepEqual(play.violations, []);
        t.is(countStarts(play, 'first'), 2);
      }
    }
  }
});

test('no run outlives a dispatcher and its sidecar that end together, whichever comes back first', async t => {
  for (const end of processEnds) {
    for (const [sidecarDelay, dispatcherDelay] of [
      [50, 900],
      [900, 50],
      [300, 300],
    ] as const) {
      for (const reportDelay of [0, 600, 1_500]) {
        for (const clockStart of clockStarts) {
          const play = await startPlay({ clockRate: 0.98 });
          restartSidecar(play, end, sidecarDelay, reportDelay, clockStart);
          restartDispatcher(play, end, dispatcherDelay, clockStart);
          t.is(await settle(play), 0);
          t.deepEqual(play.violations, []);
          t.is(countStarts(play, 'first'), 2);
        }
      }
    }
  }
});

test('a worker that ends a lapsed run 80 ms late, under a sidecar that is 100 ms late, is covered by the time for the close of a connection', async t => {
  const play = await startPlay({ clockRate: 0.98 });
  const { timers, host, dispatchers, callers, violations } = play;
  host.worker.expiryMilliseconds = stopMilliseconds + 80;
  host.worker.stopsToLose = Infinity;
  const endedAt = timers.now();
  restartDispatcher(play, ProcessEnd.Silence, 400, 20);
  timers.after(500, () => {
    callers.submit(1, first(dispatchers));
  });
  const [former] = host.worker.activeRuns.values();
  while (timers.now() < endedAt + resendMilliseconds) {
    host.suspension.suspend();
    await timers.advance(95);
    host.suspension.resume();
    await timers.advance(tickMilliseconds);
  }
  t.false([...host.worker.activeRuns.values()].some(run => run === former));
  t.false(violations.includes('first.0.0.0 has two active runs'));
});

test('a run at a sidecar that is not heard has ended when its dispatcher places its task again, although its worker is late', async t => {
  const reserves: Milliseconds[] = [];
  for (const clockRate of [1, 0.98]) {
    let reserve = Infinity;
    for (let phase = 0; phase < 100; phase += 5) {
      const play = await startPlay({ clockRate, phase });
      const { timers, host, hosts, network } = play;
      host.worker.stopsToLose = Infinity;
      host.worker.expiryMilliseconds = stopMilliseconds + 60;
      for (const link of network.connections)
        if (link.from === host.name) link.silentTowards = link.to;
      let lastActiveAt = timers.now();
      const other = hosts.find(one => one !== host) ?? host;
      while (other.worker.starts.length === 0) {
        if (host.worker.activeRuns.size > 0) lastActiveAt = timers.now();
        await timers.advance(1);
      }
      t.is(host.worker.activeRuns.size, 0, `phase ${String(phase)}`);
      reserve = Math.min(reserve, timers.now() - lastActiveAt);
      t.deepEqual(play.violations, []);
    }
    reserves.push(reserve);
  }
  t.log('reserve in ms with an exact and a slow clock', reserves);
  t.true(Math.min(...reserves) > 0);
});

// It took over the lease that its worker had from another dispatcher, and its sidecar ended before it sent a stop.
test('a run that starts after its dispatcher has lost its power is not active beside its repetition', async t => {
  const fixture = await startJobsFixture({
    dispatchers: 2,
    workers: 2,
    processors: 1,
  });
  const { timers, hosts, dispatchers, violations } = fixture;
  await timers.advance(200);
  const [silent, live] = [first(dispatchers), getItem(dispatchers, 1)];
  const jobs = [createJob('before', 2), createJob('waiting', 1)];
  const callers = new FakeCallers(fixture, jobs);
  watchEndedCallers(fixture, callers);
  for (const { worker } of hosts) worker.runMilliseconds = 600;
  callers.submit(0, live);
  await timers.advance(20);
  for (const { worker } of hosts)
    worker.runMilliseconds = 2 * settledMilliseconds;
  callers.submit(1, silent);
  await timers.advance(60);
  callers.dispatcherCrashed(silent, live);
  silent.kill(ProcessEnd.Silence, 0);
  await timers.advance(530);
  const host = hosts.find(({ worker }) =>
    worker.activeRuns.has('waiting.0.0.0'),
  );
  host?.killSidecar(ProcessEnd.Reset, 0);
  await timers.advance(settledMilliseconds);
  t.deepEqual(violations, []);
});

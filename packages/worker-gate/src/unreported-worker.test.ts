/** Runs that an earlier process left end soon after the next one starts, and nothing else happens before the worker has reported. */
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import { createSilentLogger } from '@cranberryturn/logger';
import { FromWorkerKind } from '@cranberryturn/wire';
import test from 'ava';

import { createFakeWorker } from './fakes/fake-worker.js';
import type { FakeWorker } from './fakes/fake-worker-state.js';
import {
  createWorkerRun,
  oneProcessor,
  startGateFixture,
} from './fakes/gate-fixture.js';
import { Fencing } from './fencing.js';
import { LeftoverRuns } from './leftover-runs.js';
import type { RenewOrder } from './ports/worker.js';
import { UnreportedWorker } from './unreported-worker.js';

const runMilliseconds = 900;

interface Restart {
  readonly timers: ManualTimerService;
  readonly worker: FakeWorker;
  readonly unreported: UnreportedWorker;
  readonly questions: RenewOrder[];
  /** Sends a start order of the earlier process. */
  readonly sendStart: (jobId: string) => void;
}

/** A worker with two runs of an earlier process, whose wall clock was ahead by `clockAhead`, and the next process. */
async function restartSidecar(clockAhead = 0): Promise<Restart> {
  const timers = createManualTimerService();
  const run = createWorkerRun(2);
  const worker = createFakeWorker({ timers, run, need: oneProcessor });
  worker.runMilliseconds = runMilliseconds;
  const logger = createSilentLogger();
  const fencingToken = new Fencing(timers).token + clockAhead;
  const sendStart = (jobId: string): void => {
    void worker.port.startRun({
      jobId,
      taskId: '0.0.0',
      run: 1,
      specification: '',
      deadline: 1_120,
      fencingToken,
    });
  };
  sendStart('one');
  sendStart('two');
  const fencing = new Fencing(timers);
  await timers.advance(2);
  const leftovers = new LeftoverRuns({ timers, logger, fencing });
  const questions: RenewOrder[] = [];
  const openPort = () => ({
    ...worker.port,
    renewLease: (order: RenewOrder) => {
      questions.push(order);
      return worker.port.renewLease(order);
    },
  });
  const unreported = new UnreportedWorker({ openPort, leftovers, fencing });
  return { timers, worker, unreported, questions, sendStart };
}

test('runs of an earlier process do not go on until the next report of the worker', async t => {
  const { timers, worker, unreported, questions } = await restartSidecar();
  unreported.stopLeftovers();
  await timers.advance(100);
  t.is(worker.activeRuns.size, 0);
  const asked = questions.length;
  await timers.advance(5_000);
  t.is(questions.length, asked);
  t.true(questions.every(({ deadline }) => deadline === undefined));
  t.true(questions.every(order => order.acknowledgedSequence === 0));
});

test('a wall clock that was set back does not keep the runs of an earlier process active', async t => {
  const { timers, worker, unreported } = await restartSidecar(3_600_000);
  unreported.stopLeftovers();
  await timers.advance(150);
  t.is(worker.activeRuns.size, 0);
});

test('a late start order of an earlier process with the same wall clock starts no run once none is listed', async t => {
  const { timers, worker, unreported, sendStart } = await restartSidecar();
  worker.nextStartDelayMilliseconds = 300;
  sendStart('late');
  unreported.stopLeftovers();
  await timers.advance(900);
  t.deepEqual(
    worker.starts.map(({ jobId }) => jobId),
    ['one', 'two'],
  );
});

test('a worker that is down is not asked without pause, and its runs are stopped once it answers', async t => {
  const { timers, worker, unreported, questions } = await restartSidecar();
  worker.isSilent = true;
  unreported.stopLeftovers();
  await timers.advance(600);
  t.true(questions.length >= 2, String(questions.length));
  worker.isSilent = false;
  await timers.advance(200);
  t.is(worker.activeRuns.size, 0);

  const down = await restartSidecar();
  down.worker.crash();
  down.unreported.stopLeftovers();
  await down.timers.advance(60_000);
  t.true(down.questions.length < 60, String(down.questions.length));
  down.unreported.close();
});

test('an unreadable list is not taken for one without leftover runs', async t => {
  const { timers, worker, unreported } = await restartSidecar();
  worker.hasUnreadableLists = true;
  unreported.stopLeftovers();
  await timers.advance(300);
  t.is(worker.activeRuns.size, 2);
  worker.hasUnreadableLists = false;
  await timers.advance(100);
  t.is(worker.activeRuns.size, 0);
});

// The listed runs may be those of this process by then.
test('a list that arrives once the worker is known stops nothing', async t => {
  const { timers, worker, unreported } = await restartSidecar();
  worker.replyDelayMilliseconds = 50;
  unreported.stopLeftovers();
  await timers.advance(20);
  unreported.close();
  await timers.advance(200);
  t.is(worker.activeRuns.size, 2);
});

test('an answer before the first report offers no worker, and the first report takes over', async t => {
  const fixture = await startGateFixture(1);
  const { place, worker, timers, received } = fixture;
  worker.runMilliseconds = 5_000;
  place({ jobId: 'job' });
  await timers.advance(50);
  fixture.gate.kill();
  const gate = fixture.restartGate();
  received.length = 0;
  gate.stopLeftovers();
  await timers.advance(300);
  t.is(worker.activeRuns.size, 0);
  t.is(gate.getExecutor(), undefined);
  const isOffered = () =>
    received.some(
      message =>
        message.kind === FromWorkerKind.Announce &&
        message.worker !== undefined,
    );
  t.false(isOffered());
  fixture.report(worker.run);
  await timers.advance(100);
  t.true(isOffered());
  gate.kill();
});

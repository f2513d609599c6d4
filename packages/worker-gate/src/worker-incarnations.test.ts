/**
 * A run is reported as ended only once it is not active and can't become active, whatever a late, repeated or foreign
 * message says of its worker: its task would run twice at the same time.
 */
import { createRandomSource } from '@cranberryturn/random';
import { RunOutcome, type WorkerRun } from '@cranberryturn/types';
import { FromWorkerKind } from '@cranberryturn/wire';
import test, { type ExecutionContext } from 'ava';

import {
  createWorkerRun,
  type GateFixture,
  startGateFixture,
} from './fakes/gate-fixture.js';

const runMilliseconds = 2_000;
const otherWriter: WorkerRun = {
  ...createWorkerRun(2, 900),
  workerId: 'worker-of-another-writer',
  incarnation: 'worker-of-another-writer@900',
  service: 'another-service',
};

async function startBusyWorker(): Promise<GateFixture> {
  const fixture = await startGateFixture(2);
  fixture.worker.runMilliseconds = runMilliseconds;
  fixture.place({ jobId: 'job' });
  await fixture.timers.advance(200);
  return fixture;
}

function findLastOffered({ received }: GateFixture): WorkerRun | undefined {
  const announcements = received.flatMap(message =>
    message.kind === FromWorkerKind.Announce ? [message.worker] : [],
  );
  return announcements.at(-1);
}

/** The run of the busy worker goes on to its end, and the worker is used again. */
async function checkSoundWorker(
  t: ExecutionContext,
  fixture: GateFixture,
): Promise<void> {
  await fixture.timers.advance(200);
  t.deepEqual(fixture.ends, []);
  t.is(fixture.worker.activeRuns.size, 1);
  fixture.report(fixture.worker.run);
  await fixture.timers.advance(runMilliseconds);
  fixture.place({ jobId: 'next' });
  await fixture.timers.advance(runMilliseconds + 200);
  t.deepEqual(
    fixture.ends.map(({ jobId, outcome }) => [jobId, outcome]),
    [
      ['job', RunOutcome.Done],
      ['next', RunOutcome.Done],
    ],
  );
  t.deepEqual(findLastOffered(fixture), fixture.worker.run);
}

test('a heartbeat of another writer does not end the runs of the worker that answers', async t => {
  const fixture = await startBusyWorker();
  fixture.report(otherWriter);
  await checkSoundWorker(t, fixture);
});

test('a heartbeat of another writer under the id of the worker does not end its runs', async t => {
  const fixture = await startBusyWorker();
  fixture.report(createWorkerRun(2, 900));
  await checkSoundWorker(t, fixture);
});

test('a heartbeat of another writer that copies the start of the worker changes neither its capacity nor its clock', async t => {
  const fixture = await startBusyWorker();
  const { gate, worker } = fixture;
  const copied = { ...createWorkerRun(9), service: 'another-service' };
  t.false(
    gate.workerReported({
      worker: copied,
      bornAt: 1,
      sequence: 50,
      clock: 1e9,
      draining: false,
    }),
  );
  t.deepEqual(gate.getExecutor()?.worker, worker.run);
  await checkSoundWorker(t, fixture);
});

test('a departure of an earlier incarnation that comes late does not end the runs of the next one', async t => {
  const fixture = await startBusyWorker();
  fixture.gate.workerLeft('worker-1');
  await checkSoundWorker(t, fixture);
});

test('a run that a start order has started in an unnoticed later incarnation is not reported as ended while it is active', async t => {
  const fixture = await startGateFixture(2);
  await fixture.timers.advance(3_000);
  const reborn = fixture.startIncarnation(createWorkerRun(2, 2));
  reborn.runMilliseconds = runMilliseconds;
  fixture.place({ jobId: 'job' });
  await fixture.timers.advance(1_000);
  t.is(reborn.starts.length, 1);
  t.deepEqual(fixture.ends, []);
  t.is(findLastOffered(fixture), undefined);
  fixture.report(reborn.run);
  await fixture.timers.advance(200);
  t.deepEqual(
    fixture.ends.map(({ outcome }) => outcome),
    [RunOutcome.Interrupted],
  );
  t.is(reborn.activeRuns.size, 0);
  t.deepEqual(findLastOffered(fixture), reborn.run);
});

test('a start order that a later incarnation carries out late starts nothing once its run is reported as ended', async t => {
  const fixture = await startGateFixture(2);
  const reborn = fixture.startIncarnation(createWorkerRun(2, 2));
  reborn.nextStartDelayMilliseconds = 700;
  fixture.place({ jobId: 'job' });
  await fixture.timers.advance(300);
  fixture.report(reborn.run);
  await fixture.timers.advance(200);
  t.deepEqual(
    fixture.ends.map(({ outcome }) => outcome),
    [RunOutcome.Interrupted],
  );
  await fixture.timers.advance(1_000);
  t.deepEqual(reborn.starts, []);
});

/** One event of the random test. */
type Event = (fixture: GateFixture, amount: number) => void;

let incarnations = 1;
const events: readonly Event[] = [
  ({ place, timers }) => {
    place({
      jobId: `job-${String(timers.now())}`,
      remainingMilliseconds: 20_000,
    });
  },
  ({ place, timers }) => {
    place({
      jobId: `job-${String(timers.now())}`,
      remainingMilliseconds: 1_000,
    });
  },
  fixture => {
    incarnations += 1;
    fixture.startIncarnation(createWorkerRun(2, incarnations)).runMilliseconds =
      runMilliseconds;
  },
  fixture => {
    fixture.report(fixture.worker.run);
  },
  fixture => {
    fixture.report(fixture.worker.run);
  },
  fixture => {
    fixture.report(otherWriter);
  },
  (fixture, amount) => {
    fixture.report(createWorkerRun(2, incarnations + 1 + amount));
  },
  (fixture, amount) => {
    fixture.report(createWorkerRun(2, Math.max(1, incarnations - amount)));
  },
  ({ gate }) => {
    gate.workerLeft('worker-1');
  },
  ({ worker }, amount) => {
    worker.nextStartDelayMilliseconds = 300 + 400 * amount;
  },
  ({ worker }) => {
    worker.shouldLoseNextReply = true;
  },
  ({ worker }) => {
    worker.shouldLoseNextStop = true;
  },
  ({ worker }) => {
    worker.hasUnreadableLists = !worker.hasUnreadableLists;
  },
  ({ worker }) => {
    worker.isSilent = !worker.isSilent;
  },
];

test('no run is active once it is reported as ended, whatever is heard of the worker in between', async t => {
  let interrupted = 0;
  for (let seed = 1; seed <= 150; seed += 1) {
    const random = createRandomSource(seed);
    const fixture = await startGateFixture(2);
    fixture.worker.runMilliseconds = runMilliseconds;
    for (let step = 0; step < 40; step += 1) {
      const event = events[random.below(events.length)];
      event?.(fixture, random.below(4));
      const ticks = 1 + random.below(40);
      for (let tick = 0; tick < ticks; tick += 1) {
        await fixture.timers.advance(10);
        const active = [...fixture.worker.activeRuns.values()];
        const ended = fixture.ends.filter(({ jobId }) =>
          active.some(run => run.jobId === jobId),
        );
        if (ended.length === 0) continue;
        t.deepEqual(ended, [], `seed ${String(seed)}, step ${String(step)}`);
        return;
      }
    }
    interrupted += fixture.ends.filter(
      ({ outcome }) => outcome === RunOutcome.Interrupted,
    ).length;
    fixture.gate.kill();
  }
  t.true(interrupted > 100, String(interrupted));
});

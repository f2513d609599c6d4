import test from 'ava';

import {
  createJob,
  createSchedulerFixture,
} from './fakes/scheduler-fixture.js';

const fullLoad = { freeSlots: 0, queuedTasks: 0, draining: false };
const oneFreeLoad = { freeSlots: 1, queuedTasks: 0, draining: false };

function createFilledCluster() {
  const fixture = createSchedulerFixture();
  const targets = [1, 2, 3].map(number =>
    fixture.addTarget({ targetId: `worker-${String(number)}`, slots: 2 }),
  );
  for (const target of targets) {
    fixture.scheduler.targetLoadReported(target, fullLoad);
  }
  return { fixture, targets };
}

test('while tasks wait, each target filled by other dispatchers gets one load request', async t => {
  const { fixture, targets } = createFilledCluster();
  fixture.start(createJob('job-1', 2));
  t.is(fixture.sent.length, 0);
  t.deepEqual(
    fixture.asked.map(one => one.targetId),
    ['worker-1', 'worker-2', 'worker-3'],
  );
  await fixture.timers.advance(50);
  fixture.start(createJob('job-2', 1));
  t.is(fixture.asked.length, 3);
  const [first] = targets;
  if (first !== undefined)
    fixture.scheduler.targetLoadReported(first, oneFreeLoad);
  t.is(fixture.sent.length, 1);
  t.is(fixture.sent[0]?.target.targetId, 'worker-1');
});

test('no load is requested while slots are free or no task waits', t => {
  const fixture = createSchedulerFixture();
  const target = fixture.addTarget({ slots: 4 });
  fixture.start(createJob('job-1', 3));
  t.deepEqual(fixture.asked, []);
  fixture.scheduler.targetLoadReported(target, fullLoad);
  t.deepEqual(fixture.asked, []);
});

test('a target filled by this dispatcher gets no load request', t => {
  const fixture = createSchedulerFixture();
  fixture.addTarget({ slots: 2 });
  fixture.start(createJob('job-1', 4));
  t.is(fixture.sent.length, 2);
  t.deepEqual(fixture.asked, []);
});

import { DecisionKind, emptyConfiguration } from '@cranberryturn/types';
import test from 'ava';

import {
  createJob,
  createSchedulerFixture,
} from './fakes/scheduler-fixture.js';
import { RefusalKind, TaskOutcomeKind } from './ports/scheduler.js';

const service = {
  service: 'register',
  queueLimit: 20_000,
  defaultDeadlineMilliseconds: 10_000,
  retryBudgetPercent: 10,
};

function createCluster(targets: number, slots = 8) {
  const fixture = createSchedulerFixture();
  const configuration = { ...emptyConfiguration, services: [service] };
  fixture.scheduler.applyConfiguration(configuration, { count: 1 });
  for (let number = 1; number <= targets; number += 1)
    fixture.addTarget({ targetId: `worker-${String(number)}`, slots });
  return fixture;
}

test('10,000 queued tasks are cancelled at once with one message to each target', async t => {
  const fixture = createCluster(4);
  const deadlineMilliseconds = 3_600_000;
  for (let number = 0; number < 50; number += 1)
    t.true(
      fixture.start(
        createJob(`job-${String(number)}`, 200, { deadlineMilliseconds }),
      ),
    );
  t.is(fixture.scheduler.status().queuedTasks, 10_000 - 32);
  for (let number = 49; number >= 0; number -= 1)
    fixture.scheduler.cancelJob(`job-${String(number)}`, 'cancelled');
  t.is(fixture.scheduler.status().queuedTasks, 0);
  t.is(fixture.outcomes.length, 10_000);
  const started = fixture.outcomes.filter(
    one => one.outcome.kind === TaskOutcomeKind.Unknown,
  );
  t.is(started.length, 32);
  await fixture.timers.advance(0);
  t.is(fixture.cancelled.length, 4);
  t.is(fixture.cancelled.flatMap(one => one.attempts).length, 32);
});

test('a target that fails every task at once is ejected after a few and probed with one', async t => {
  const fixture = createCluster(5, 2);
  fixture.start(createJob('long', 5));
  fixture.answer(fixture.sent.find(one => one.target.targetId === 'worker-1'));
  let failures = 0;
  for (let number = 0; number < 200; number += 1) {
    fixture.start(createJob(`job-${String(number)}`, 1));
    const newest = fixture.sent.at(-1);
    if (newest?.target.targetId !== 'worker-1') fixture.answer(newest);
    else {
      fixture.fail(newest);
      failures += 1;
    }
  }
  t.true(failures >= 1 && failures <= 5, String(failures));
  t.true(fixture.scheduler.status().targets[0]?.isEjected);
  await fixture.timers.advance(1_100);
  const before = fixture.sent.length;
  for (let number = 0; number < 20; number += 1)
    fixture.start(
      createJob(`probe-${String(number)}`, 1, { idempotent: true }),
    );
  const probes = fixture.sent
    .slice(before)
    .filter(one => one.target.targetId === 'worker-1');
  t.is(probes.length, 1);
  t.true(
    fixture.decisions.some(
      one => one.kind === DecisionKind.Placed && one.reason === 'probe',
    ),
  );
});

test('the number of ejected targets stays bounded when all targets fail', t => {
  const fixture = createCluster(10);
  for (let number = 0; number < 500; number += 1) {
    fixture.start(createJob(`job-${String(number)}`, 1));
    fixture.fail(fixture.sent.at(-1));
  }
  const { targets } = fixture.scheduler.status();
  t.true(targets.filter(one => one.isEjected).length <= 3);
});

test('retries of idempotent requests stay within the budget when half of the workers die', t => {
  const fixture = createCluster(10);
  for (let number = 0; number < 80; number += 1)
    fixture.start(createJob(`job-${String(number)}`, 1, { idempotent: true }));
  const targets = fixture.sent.map(one => one.target);
  for (let number = 1; number <= 5; number += 1) {
    const lost = targets.find(
      one => one.targetId === `worker-${String(number)}`,
    );
    if (lost !== undefined) fixture.scheduler.targetLost(lost);
  }
  const retried = fixture.decisions.filter(
    one => one.kind === DecisionKind.Retried,
  );
  t.true(retried.length <= 10 + 8, String(retried.length));
  t.is(retried.length + fixture.outcomes.length, 40);
});

test('jobs that no worker can hold are refused at once, and ones that fit wait', t => {
  const fixture = createCluster(2);
  const tasks = [
    { taskId: 'task-1', payload: '1', declared: { accelerators: 1 } },
  ];
  const refused = fixture.scheduler.admitJob(createJob('job-1', 1, { tasks }));
  t.is(refused._unsafeUnwrapErr().kind, RefusalKind.Impossible);
  t.is(refused._unsafeUnwrapErr().retryAfterMilliseconds, undefined);
});

test('learned run times override declarations that are ten times too long', t => {
  const fixture = createCluster(1, 1);
  const declared = { runMilliseconds: 8_000 };
  const tasks = [{ taskId: 'task-1', payload: '1', declared }];
  for (let number = 0; number < 10; number += 1) {
    const job = createJob(`early-${String(number)}`, 1, { tasks });
    t.true(fixture.start(job));
    fixture.answer(fixture.sent.at(-1), 800);
  }
  t.true(fixture.start(createJob('job-1', 1, { tasks })));
  t.true(fixture.start(createJob('job-2', 1, { tasks })));
  t.true(fixture.start(createJob('job-3', 1, { tasks })));
});

test('reserved processors are not given to another task', t => {
  const fixture = createCluster(1, 8);
  const tasks = Array.from({ length: 8 }, (_, position) => ({
    taskId: `task-${String(position)}`,
    payload: '1',
    declared: { processors: 20 },
  }));
  t.true(fixture.start(createJob('job-1', 8, { tasks })));
  t.is(fixture.sent.length, 3);
  fixture.answer(fixture.sent[0]);
  t.is(fixture.sent.length, 4);
});

test('a target that refuses its tasks gets attempts with backoff', async t => {
  const fixture = createCluster(1, 1);
  fixture.start(createJob('job-1', 1));
  for (let step = 0; step < 200; step += 1) {
    const newest = fixture.sent.at(-1);
    if (newest?.attempt.attempt === fixture.sent.length) fixture.refuse(newest);
    await fixture.timers.advance(10);
  }
  t.true(fixture.sent.length <= 20, String(fixture.sent.length));
  t.is(fixture.outcomes.length, 0);
});

test('a target gets no more tasks than it accepts connections', t => {
  const fixture = createSchedulerFixture();
  fixture.addTarget({ slots: 8, connections: 3 });
  fixture.start(createJob('job-1', 8));
  t.is(fixture.sent.length, 3);
});

test('one long task is not counted twice against its target', async t => {
  const fixture = createCluster(4);
  for (let number = 0; number < 64; number += 1) {
    fixture.start(createJob(`early-${String(number)}`, 1));
    fixture.answer(fixture.sent.at(-1), 100);
  }
  fixture.start(createJob('long', 1));
  const long = fixture.sent.at(-1);
  await fixture.timers.advance(900);
  fixture.answer(long, 900);
  t.true(
    fixture.decisions.some(
      one => one.kind === DecisionKind.Health && one.action === 'straggler',
    ),
  );
  t.false(fixture.scheduler.status().targets.some(one => one.isEjected));
});

test('usage that is reported late counts for the tasks that ran when it was measured', async t => {
  const fixture = createCluster(1);
  const resources = { processors: 8, memoryMebibytes: 1_024, accelerators: 0 };
  const record = fixture.addTarget({ targetId: 'small', slots: 8, resources });
  const worker = { targetId: 'worker-1', incarnation: 'run-1' };
  fixture.scheduler.targetSuspected(worker);
  const declare = (jobId: string, processors: number) =>
    createJob(jobId, 1, {
      tasks: [{ taskId: 'task', payload: '{}', declared: { processors } }],
    });
  const report = (processors: number, ageMilliseconds: number) => {
    fixture.scheduler.targetLoadReported(record, {
      freeSlots: 8,
      queuedTasks: 0,
      draining: false,
      usage: {
        processors,
        ageMilliseconds,
        memoryMebibytes: 0,
        accelerators: 0,
      },
    });
  };
  // Each task declares all processors and uses one; its usage is reported after its end.
  for (let round = 0; round < 100; round += 1) {
    report(round === 0 ? 0 : 1, round === 0 ? 0 : 150);
    fixture.start(declare(`big-${String(round)}`, 8));
    await fixture.timers.advance(100);
    fixture.answer(fixture.sent.at(-1));
    await fixture.timers.advance(100);
  }
  const before = fixture.sent.length;
  for (let number = 0; number < 4; number += 1)
    fixture.start(declare(`more-${String(number)}`, 8));
  t.is(fixture.sent.length - before, 4);
});

import { AttemptOutcome, NotStartedReason } from '@cranberryturn/types';
import test from 'ava';

import {
  createJob,
  createSchedulerFixture,
} from './fakes/scheduler-fixture.js';
import { TaskOutcomeKind, TaskPlanKind } from './ports/scheduler.js';

test('a job is spread over racks and completes', t => {
  const fixture = createSchedulerFixture();
  for (const rack of ['rack-1', 'rack-2', 'rack-3'])
    fixture.addTarget({ targetId: `worker-${rack}`, rack });
  t.true(fixture.start(createJob('job-1', 3)));
  t.is(new Set(fixture.sent.map(one => one.target.targetId)).size, 3);
  for (const one of fixture.sent) fixture.answer(one);
  t.is(fixture.outcomes.length, 3);
  t.true(
    fixture.outcomes.every(
      one => one.outcome.kind === TaskOutcomeKind.Answered,
    ),
  );
  t.is(fixture.scheduler.status().runningTasks, 0);
});

test('decisions and outcomes of a job with a refusal and a failure', async t => {
  const fixture = createSchedulerFixture({ dataCentre: 'hoan-kiem' });
  fixture.addTarget({ targetId: 'near', slots: 1 });
  fixture.addTarget({ targetId: 'far', slots: 1, dataCentre: 'dong-da' });
  fixture.start(createJob('job-1', 3));
  fixture.refuse(fixture.sent[0], NotStartedReason.Draining);
  fixture.answer(fixture.sent[1]);
  fixture.fail(fixture.sent[2]);
  await fixture.timers.advance(1);
  t.snapshot(fixture.decisions);
  t.snapshot(fixture.outcomes);
  t.snapshot(fixture.cancelled);
});

test('a task is placed again only when it was provably not started', t => {
  for (const reason of Object.values(NotStartedReason)) {
    const fixture = createSchedulerFixture();
    fixture.addTarget({ targetId: 'worker-1' });
    fixture.addTarget({ targetId: 'worker-2' });
    fixture.start(createJob('job-1', 1));
    fixture.refuse(fixture.sent[0], reason);
    t.snapshot(
      { placements: fixture.sent.length, outcomes: fixture.outcomes },
      `after ${reason}`,
    );
  }
});

test('tasks of a suspected target are not placed elsewhere', async t => {
  const fixture = createSchedulerFixture();
  const first = fixture.addTarget({ targetId: 'worker-1' });
  fixture.start(createJob('job-1', 1));
  fixture.addTarget({ targetId: 'worker-2' });
  fixture.scheduler.targetSuspected(first);
  await fixture.timers.advance(5_000);
  t.is(fixture.sent.length, 1);
  t.is(fixture.outcomes.length, 0);
  fixture.scheduler.targetLost(first);
  t.is(fixture.sent.length, 1);
  t.is(fixture.outcomes[0]?.outcome.kind, TaskOutcomeKind.Unknown);
});

test('a lost target ends its job at once, and the rest of the job is stopped', async t => {
  const fixture = createSchedulerFixture();
  const first = fixture.addTarget({ targetId: 'worker-1', slots: 1 });
  fixture.addTarget({ targetId: 'worker-2', slots: 1 });
  fixture.start(createJob('job-1', 4));
  fixture.scheduler.targetLost(first);
  await fixture.timers.advance(0);
  t.deepEqual(fixture.outcomes.map(one => one.outcome.kind).sort(), [
    TaskOutcomeKind.NotStarted,
    TaskOutcomeKind.NotStarted,
    TaskOutcomeKind.Unknown,
    TaskOutcomeKind.Unknown,
  ]);
  t.deepEqual(
    fixture.cancelled.map(one => one.target.targetId),
    ['worker-2'],
  );
});

test('an adopted job awaits the attempts that already run', t => {
  const fixture = createSchedulerFixture();
  const target = fixture.addTarget();
  const job = createJob('job-1', 3);
  t.true(fixture.scheduler.admitJob(job).isOk());
  const attempt = { jobId: 'job-1', taskId: 'task-2', attempt: 4, epoch: 1 };
  fixture.scheduler.startJob('job-1', { epoch: 2, registeredUpTo: 5 }, [
    { kind: TaskPlanKind.Place, taskId: 'task-1' },
    { kind: TaskPlanKind.Await, attempt, target },
  ]);
  t.is(fixture.sent.length, 1);
  t.is(fixture.scheduler.status().runningTasks, 2);
  fixture.scheduler.attemptEnded(target, {
    ...attempt,
    outcome: AttemptOutcome.Answered,
    answer: '1',
    runMilliseconds: 1,
  });
  t.deepEqual(
    fixture.outcomes.map(one => one.taskId),
    ['task-2'],
  );
  t.is(fixture.scheduler.status().queuedTasks, 0);
});

test('tasks of an adopted job go only to runs registered up to the index of its ownership', t => {
  const fixture = createSchedulerFixture();
  fixture.addTarget({ targetId: 'worker-1', slots: 1, registeredAt: 4 });
  fixture.addTarget({ targetId: 'worker-2', registeredAt: 6 });
  t.true(fixture.scheduler.admitJob(createJob('job-1', 2)).isOk());
  fixture.scheduler.startJob('job-1', { epoch: 2, registeredUpTo: 5 }, [
    { kind: TaskPlanKind.Place, taskId: 'task-1' },
    { kind: TaskPlanKind.Place, taskId: 'task-2' },
  ]);
  t.deepEqual(
    fixture.sent.map(one => one.target.targetId),
    ['worker-1'],
  );
});

test('late, doubled and reordered results change nothing', t => {
  const fixture = createSchedulerFixture();
  fixture.addTarget();
  fixture.start(createJob('job-1', 2));
  const [first, second] = fixture.sent;
  fixture.answer(second);
  fixture.answer(second);
  fixture.fail(second);
  t.is(fixture.outcomes.length, 1);
  fixture.answer(first);
  fixture.answer(first);
  t.is(fixture.outcomes.length, 2);
  t.is(fixture.scheduler.status().runningTasks, 0);
});

test('a result of an earlier epoch does not end the attempt of the current epoch', t => {
  const fixture = createSchedulerFixture();
  fixture.addTarget();
  fixture.start(createJob('job-1', 1));
  const [sent] = fixture.sent;
  if (sent === undefined) throw new Error('Nothing was sent.');
  const earlier = { ...sent.attempt, epoch: sent.attempt.epoch - 1 };
  fixture.refuse({ ...sent, attempt: earlier });
  t.is(fixture.sent.length, 1);
  t.is(fixture.scheduler.status().runningTasks, 1);
  fixture.answer(sent);
  t.is(fixture.outcomes.length, 1);
});

test('a job whose deadline passes ends at its deadline and not before', async t => {
  const fixture = createSchedulerFixture();
  fixture.addTarget({ slots: 1 });
  fixture.start(createJob('job-1', 2, { deadlineMilliseconds: 500 }));
  await fixture.timers.advance(499);
  t.is(fixture.outcomes.length, 0);
  await fixture.timers.advance(1);
  t.deepEqual(
    fixture.outcomes.map(one => one.outcome.kind),
    [TaskOutcomeKind.Unknown, TaskOutcomeKind.NotStarted],
  );
});

test('waiting jobs are placed by urgency, and the longest tasks of a job first', t => {
  const fixture = createSchedulerFixture();
  fixture.addTarget({ slots: 1 });
  const declare = (jobId: string, ...runs: number[]) =>
    createJob(jobId, runs.length, {
      tasks: runs.map(runMilliseconds => ({
        taskId: `of-${String(runMilliseconds)}`,
        payload: '{}',
        declared: { runMilliseconds },
      })),
    });
  fixture.start(declare('first', 10));
  fixture.start(declare('wide', 100, 2_000, 400));
  fixture.start(declare('short', 50));
  for (let ended = 0; ended < 5; ended += 1)
    fixture.answer(fixture.sent.at(-1));
  t.deepEqual(
    fixture.sent.map(({ attempt }) => `${attempt.jobId}/${attempt.taskId}`),
    [
      'first/of-10',
      'short/of-50',
      'wide/of-2000',
      'wide/of-400',
      'wide/of-100',
    ],
  );
});

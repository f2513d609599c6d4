import { WorkerRunOutcome } from '@cranberryturn/worker-gate';
import test from 'ava';

import {
  describeJob,
  describeQueue,
  first,
  oneProcessor,
  pick,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';
import type { SubmittedJob } from './transient-jobs-options.js';

/** Collects how submitted jobs ended. */
function record(submitted: SubmittedJob): TransientJobEnd[] {
  const ends: TransientJobEnd[] = [];
  void submitted.ended.then(end => ends.push(end));
  return ends;
}

test('a job ends when all of its tasks are done, spread over the workers', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 3,
    processors: 4,
  });
  const ends = record(first(dispatchers).jobs.submit(describeJob('job', 6)));
  await timers.advance(130);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.deepEqual(
    hosts.map(host => host.worker.starts.length),
    [2, 2, 2],
  );
});

test('a step starts only after the steps before it', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 4,
  });
  const step = first(describeJob('job', 2).steps);
  const job = {
    ...describeJob('job', 2),
    steps: [step, { ...step, tasks: 1, after: [0] }],
  };
  const ends = record(first(dispatchers).jobs.submit(job));
  await timers.advance(500);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  const starts = hosts.flatMap(host => host.worker.starts);
  const last = starts.find(start => start.taskId === '0.1.0');
  const firstEnds = starts
    .filter(start => start.taskId.startsWith('0.0.'))
    .map(start => start.endsAt);
  t.true(firstEnds.every(end => end <= (last?.startedAt ?? 0)));
});

test('a task that fails runs again elsewhere, and fails its job when it has failed as often as it may', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 3,
    processors: 4,
  });
  for (const { worker } of hosts) worker.nextOutcome = WorkerRunOutcome.Failed;
  const ends = record(first(dispatchers).jobs.submit(describeJob('job', 1)));
  await timers.advance(1_000);
  t.is(ends[0]?.kind, TransientJobEndKind.Failed);
  t.deepEqual(hosts.map(host => host.worker.starts.length).sort(), [0, 1, 1]);
});

test('a job that no worker can ever hold fails at once', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 4,
  });
  const need = { processors: 5, memoryMebibytes: 1, accelerators: 0 };
  const ends = record(
    first(dispatchers).jobs.submit(describeJob('job', 1, { step: { need } })),
  );
  await timers.advance(1);
  t.is(ends[0]?.kind, TransientJobEndKind.Failed);
  t.is(first(hosts).worker.starts.length, 0);
});

test('a job that would end too late to be of use is refused at once, and nothing of it runs', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 2,
  });
  const { jobs } = first(dispatchers);
  first(hosts).worker.runMilliseconds = 1_000;
  const step = { estimatedMilliseconds: 1_000 };
  for (let number = 0; number < 8; number += 1) {
    record(jobs.submit(describeJob(`early-${String(number)}`, 1, { step })));
  }
  const short = describeJob('short', 1, {
    queue: describeQueue({ queue: 'short' }),
  });
  const ends = record(jobs.submit(short));
  await timers.advance(10);
  t.is(ends[0]?.kind, TransientJobEndKind.Refused);
  await timers.advance(6_000);
  t.false(first(hosts).worker.starts.some(start => start.jobId === 'short'));
});

test('a job that its caller leaves is stopped', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 4,
  });
  first(hosts).worker.runMilliseconds = 5_000;
  const submitted = first(dispatchers).jobs.submit(describeJob('job', 2));
  await timers.advance(50);
  t.is(first(hosts).worker.activeRuns.size, 2);
  submitted.abandon();
  await timers.advance(60);
  t.is(first(hosts).worker.activeRuns.size, 0);
});

test('a job that is sent again while it runs is joined, and answered once it has ended', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 4,
  });
  const { jobs } = first(dispatchers);
  const earlier = jobs.submit(describeJob('job', 2));
  const ends = record(jobs.submit(describeJob('job', 2)));
  earlier.abandon();
  await timers.advance(200);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.is(hosts.flatMap(host => host.worker.starts).length, 2);
});

test('a job that was given up can be sent again to the same dispatcher', async t => {
  const { timers, dispatchers, hosts, violations } = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 1,
  });
  const { jobs } = first(dispatchers);
  first(hosts).worker.runMilliseconds = 500;
  // The second one waits for the first to stop, and is admitted all the same.
  const queue = describeQueue({ slackFactor: 20 });
  jobs.submit(describeJob('job', 1, { queue })).abandon();
  await timers.advance(1);
  const again = jobs.submit(describeJob('job', 1, { queue }));
  const ends = record(again);
  await timers.advance(800);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.deepEqual(violations, []);
});

test('tasks of a worker that is cut off run elsewhere, never twice at the same time', async t => {
  const { timers, dispatchers, hosts, network, violations } =
    await startJobsFixture({
      dispatchers: 1,
      workers: 2,
      processors: 4,
    });
  for (const { worker } of hosts) worker.runMilliseconds = 3_000;
  const step = { estimatedMilliseconds: 3_000 };
  const ends = record(
    first(dispatchers).jobs.submit(
      describeJob('job', 2, { step, deadlineMilliseconds: 10_000 }),
    ),
  );
  await timers.advance(100);
  network.cutOff('sidecar-0', 'dispatcher-0');
  await timers.advance(9_000);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.deepEqual(violations, []);
});

test('a run that stands still is stopped and runs elsewhere', async t => {
  const { timers, dispatchers, hosts, violations } = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 4,
  });
  for (const { worker } of hosts) worker.runMilliseconds = 3_600_000;
  const ends = record(first(dispatchers).jobs.submit(describeJob('job', 2)));
  await timers.advance(50);
  for (const { worker } of hosts) worker.runMilliseconds = 100;
  await timers.advance(1_200);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.deepEqual(violations, []);
});

test('a task that finds its worker filled by another dispatcher runs elsewhere at once', async t => {
  const { dispatchers, timers } = await startJobsFixture({
    dispatchers: 2,
    workers: 2,
    processors: 4,
  });
  pick(dispatchers, 0).jobs.submit(
    describeJob('wide', 4, {
      step: { need: { ...oneProcessor, label: 'rack-0' } },
    }),
  );
  let elapsed = 0;
  const startedAt = timers.now();
  const spread = pick(dispatchers, 1).jobs.submit(describeJob('spread', 2));
  void spread.ended.then(() => {
    elapsed = timers.now() - startedAt;
  });
  await timers.advance(1_000);
  // One run of 100 ms and the round trips; behind the other job it would take 200 ms.
  t.true(elapsed > 0 && elapsed < 150, `ended after ${String(elapsed)} ms`);
});

test('a task that waits at a full worker runs at another one that has room first', async t => {
  const { dispatchers, hosts, timers } = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 1,
  });
  const { jobs } = first(dispatchers);
  first(hosts).worker.chooseRunMilliseconds = ({ jobId }) =>
    jobId === 'first' ? 900 : undefined;
  jobs.submit(describeJob('first', 2));
  await timers.advance(10);
  const ends = record(
    jobs.submit(
      describeJob('second', 2, {
        queue: describeQueue({ targetLatencyMilliseconds: 1_000 }),
      }),
    ),
  );
  // Three runs of 100 ms one after the other at the second worker, and some round trips.
  await timers.advance(390);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.is(first(hosts).worker.starts.length, 1);
});

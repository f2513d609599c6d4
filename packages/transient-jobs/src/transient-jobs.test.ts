import { WorkerRunOutcome } from '@cranberryturn/worker-gate';
import test from 'ava';

import { first, getItem } from './fakes/get-item.js';
import {
  createJob,
  createQueue,
  oneProcessor,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';
import type { SubmittedJob } from './transient-jobs-options.js';

/** Collects the end of a submitted job; empty until the job has ended. */
function recordEnds(submitted: SubmittedJob): TransientJobEnd[] {
  const ends: TransientJobEnd[] = [];
  void submitted.ended.then(end => ends.push(end));
  return ends;
}

test('a job completes when all of its tasks are done, spread over the workers', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 3,
    processors: 4,
  });
  const ends = recordEnds(first(dispatchers).jobs.submit(createJob('job', 6)));
  await timers.advance(130);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.deepEqual(
    hosts.map(host => host.worker.starts.length),
    [2, 2, 2],
  );
});

test('a step starts only after the steps that it depends on', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 4,
  });
  const step = first(createJob('job', 2).steps);
  const job = {
    ...createJob('job', 2),
    steps: [step, { ...step, tasks: 1, after: [0] }],
  };
  const ends = recordEnds(first(dispatchers).jobs.submit(job));
  await timers.advance(500);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  const starts = hosts.flatMap(host => host.worker.starts);
  const last = starts.find(start => start.taskId === '0.1.0');
  const firstEnds = starts
    .filter(start => start.taskId.startsWith('0.0.'))
    .map(start => start.endsAt);
  t.true(firstEnds.every(end => end <= (last?.startedAt ?? 0)));
});

test('a failed task runs again on another worker, and fails its job at the maximum number of failures', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 3,
    processors: 4,
  });
  for (const { worker } of hosts) worker.nextOutcome = WorkerRunOutcome.Failed;
  const ends = recordEnds(first(dispatchers).jobs.submit(createJob('job', 1)));
  await timers.advance(1_000);
  t.is(ends[0]?.kind, TransientJobEndKind.Failed);
  t.deepEqual(hosts.map(host => host.worker.starts.length).sort(), [0, 1, 1]);
});

test('a job with a task larger than any worker fails at once', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 4,
  });
  const need = { processors: 5, memoryMebibytes: 1, accelerators: 0 };
  const ends = recordEnds(
    first(dispatchers).jobs.submit(createJob('job', 1, { step: { need } })),
  );
  await timers.advance(1);
  t.is(ends[0]?.kind, TransientJobEndKind.Failed);
  t.is(first(hosts).worker.starts.length, 0);
});

test('a job that would end too late is refused at once, and none of its tasks runs', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 2,
  });
  const { jobs } = first(dispatchers);
  first(hosts).worker.runMilliseconds = 1_000;
  const step = { estimatedMilliseconds: 1_000 };
  for (let number = 0; number < 8; number += 1) {
    recordEnds(jobs.submit(createJob(`early-${String(number)}`, 1, { step })));
  }
  const short = createJob('short', 1, {
    queue: createQueue({ queue: 'short' }),
  });
  const ends = recordEnds(jobs.submit(short));
  await timers.advance(10);
  t.is(ends[0]?.kind, TransientJobEndKind.Refused);
  await timers.advance(6_000);
  t.false(first(hosts).worker.starts.some(start => start.jobId === 'short'));
});

test('a job is stopped when its caller disconnects', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 4,
  });
  first(hosts).worker.runMilliseconds = 5_000;
  const submitted = first(dispatchers).jobs.submit(createJob('job', 2));
  await timers.advance(50);
  t.is(first(hosts).worker.activeRuns.size, 2);
  submitted.abandon();
  await timers.advance(60);
  t.is(first(hosts).worker.activeRuns.size, 0);
});

test('a job submitted again while in progress is joined and runs once', async t => {
  const { timers, dispatchers, hosts } = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 4,
  });
  const { jobs } = first(dispatchers);
  const earlier = jobs.submit(createJob('job', 2));
  const ends = recordEnds(jobs.submit(createJob('job', 2)));
  earlier.abandon();
  await timers.advance(200);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.is(hosts.flatMap(host => host.worker.starts).length, 2);
});

test('an abandoned job can be submitted again to the same dispatcher', async t => {
  const { timers, dispatchers, hosts, violations } = await startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors: 1,
  });
  const { jobs } = first(dispatchers);
  first(hosts).worker.runMilliseconds = 500;
  // The second submission waits for the first run to stop, and must be admitted nevertheless.
  const queue = createQueue({ slackFactor: 20 });
  jobs.submit(createJob('job', 1, { queue })).abandon();
  await timers.advance(1);
  const again = jobs.submit(createJob('job', 1, { queue }));
  const ends = recordEnds(again);
  await timers.advance(800);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.deepEqual(violations, []);
});

test('tasks of an unreachable worker run on another one, and never have two active runs', async t => {
  const { timers, dispatchers, hosts, network, violations } =
    await startJobsFixture({
      dispatchers: 1,
      workers: 2,
      processors: 4,
    });
  for (const { worker } of hosts) worker.runMilliseconds = 3_000;
  const step = { estimatedMilliseconds: 3_000 };
  const ends = recordEnds(
    first(dispatchers).jobs.submit(
      createJob('job', 2, { step, deadlineMilliseconds: 10_000 }),
    ),
  );
  await timers.advance(100);
  network.partition('sidecar-0', 'dispatcher-0');
  await timers.advance(9_000);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.deepEqual(violations, []);
});

test('a stalled run is stopped, and its task runs again', async t => {
  const { timers, dispatchers, hosts, violations } = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 4,
  });
  for (const { worker } of hosts) worker.runMilliseconds = 3_600_000;
  const ends = recordEnds(first(dispatchers).jobs.submit(createJob('job', 2)));
  await timers.advance(50);
  for (const { worker } of hosts) worker.runMilliseconds = 100;
  await timers.advance(1_200);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.deepEqual(violations, []);
});

test('a task whose worker was filled by another dispatcher runs on another worker at once', async t => {
  const { dispatchers, timers } = await startJobsFixture({
    dispatchers: 2,
    workers: 2,
    processors: 4,
  });
  getItem(dispatchers, 0).jobs.submit(
    createJob('wide', 4, {
      step: { need: { ...oneProcessor, label: 'rack-0' } },
    }),
  );
  let elapsed = 0;
  const startedAt = timers.now();
  const spread = getItem(dispatchers, 1).jobs.submit(createJob('spread', 2));
  void spread.ended.then(() => {
    elapsed = timers.now() - startedAt;
  });
  await timers.advance(1_000);
  // One run of 100 ms and the round trips; behind the other job it would take 200 ms.
  t.true(elapsed > 0 && elapsed < 150, `ended after ${String(elapsed)} ms`);
});

test('a task queued at a full worker moves to another worker that has free capacity earlier', async t => {
  const { dispatchers, hosts, timers } = await startJobsFixture({
    dispatchers: 1,
    workers: 2,
    processors: 1,
  });
  const { jobs } = first(dispatchers);
  first(hosts).worker.chooseRunMilliseconds = ({ jobId }) =>
    jobId === 'first' ? 900 : undefined;
  jobs.submit(createJob('first', 2));
  await timers.advance(10);
  const ends = recordEnds(
    jobs.submit(
      createJob('second', 2, {
        queue: createQueue({ targetLatencyMilliseconds: 1_000 }),
      }),
    ),
  );
  // Three runs of 100 ms one after the other at the second worker, and some round trips.
  await timers.advance(390);
  t.deepEqual(ends, [{ kind: TransientJobEndKind.Completed }]);
  t.is(first(hosts).worker.starts.length, 1);
});

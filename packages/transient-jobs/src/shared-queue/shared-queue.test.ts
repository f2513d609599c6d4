/** Tasks of several dispatchers wait in one queue, and are placed by load reports while no coordinator answers. */
import { Counter, Distribution } from '@cranberryturn/metrics';
import test from 'ava';

import { first, getItem } from '../fakes/get-item.js';
import {
  createJob,
  createQueue,
  type FakeDispatcher,
  type JobsFixture,
  listAllDispatchers,
  startJobsFixture,
} from '../fakes/jobs-fixture.js';
import { type TransientJobEnd, TransientJobEndKind } from '../transient-job.js';

const queues = ['urgent', 'usual'].map((queue, priority) =>
  createQueue({ queue, priority, slackFactor: 100 }),
);
/** With this gap a central queue reaches the stated share of jobs in time at 1.3 times the usual load. */
const maximumGapMilliseconds = 10;
const urgent = getItem(queues, 0);
const usual = getItem(queues, 1);

async function start(options: {
  readonly dispatchers: number;
  readonly workers: number;
  readonly processors: number;
}): Promise<JobsFixture> {
  const fixture = await startJobsFixture(options);
  await listAllDispatchers(fixture);
  return fixture;
}

interface Submitted {
  readonly jobId: string;
  readonly ends: TransientJobEnd[];
}

function submit(
  { jobs }: FakeDispatcher,
  jobId: string,
  tasks: number,
  queue = usual,
): Submitted {
  const ends: TransientJobEnd[] = [];
  void jobs
    .submit(
      createJob(jobId, tasks, { queue, step: { estimatedMilliseconds: 100 } }),
    )
    .ended.then(end => ends.push(end));
  return { jobId, ends };
}

function isCompleted({ ends }: Submitted): boolean {
  return ends[0]?.kind === TransientJobEndKind.Completed;
}

/** The position of the dispatcher that coordinates the workers. */
function findCoordinator({ dispatchers }: JobsFixture): number {
  const [known] = first(dispatchers).jobs.workers.listWorkers('register');
  const name = known?.coordination.coordinator;
  return dispatchers.findIndex(one => one.name === name);
}

function count(fixture: JobsFixture, counter: Counter): number {
  return fixture.dispatchers.reduce(
    (sum, { metrics }) => sum + (metrics.read().counters[counter] ?? 0),
    0,
  );
}

test('all sidecars choose the same coordinator', async t => {
  const { dispatchers } = await start({
    dispatchers: 4,
    workers: 6,
    processors: 2,
  });
  const coordinators = dispatchers.flatMap(({ jobs }) =>
    [...jobs.workers.listWorkers('register')].map(
      known => known.coordination.coordinator,
    ),
  );
  t.is(coordinators.length, 24);
  t.is(new Set(coordinators).size, 1);
  t.not(coordinators[0], undefined);
});

test('processors are idle for less than 10 ms between two runs while a task of any dispatcher waits', async t => {
  const fixture = await start({ dispatchers: 3, workers: 4, processors: 2 });
  const { timers, hosts, dispatchers } = fixture;
  for (const { worker } of hosts)
    worker.chooseRunMilliseconds = ({ jobId, taskId }) =>
      30 + ((Number(jobId) * 61 + Number(taskId.at(-1)) * 97) % 170);
  const tasks = 3 * 24;
  const jobs = Array.from({ length: 24 }, (_, number) =>
    submit(getItem(dispatchers, number % 3), String(number), 3),
  );
  let idleMilliseconds = 0;
  const countStarts = (): number =>
    hosts.reduce((sum, { worker }) => sum + worker.starts.length, 0);
  await timers.advance(10);
  while (countStarts() < tasks) {
    await timers.advance(1);
    const used = hosts.reduce(
      (sum, { worker }) => sum + worker.activeRuns.size,
      0,
    );
    idleMilliseconds += 8 - used;
  }
  t.true(
    idleMilliseconds / tasks < maximumGapMilliseconds,
    `${(idleMilliseconds / tasks).toFixed(1)} ms`,
  );
  await timers.advance(2_000);
  t.true(jobs.every(isCompleted));
  t.deepEqual(fixture.violations, []);
  t.true(count(fixture, Counter.CapacityGrants) > 0);
  const coordinator = getItem(dispatchers, findCoordinator(fixture));
  const { distributions } = coordinator.metrics.read();
  t.true(
    distributions.some(
      ({ distribution, count: grants }) =>
        distribution === Distribution.CapacityWaitMilliseconds && grants > 0,
    ),
  );
});

test('urgent tasks of one dispatcher start before earlier, less urgent ones of another', async t => {
  const fixture = await start({ dispatchers: 2, workers: 1, processors: 1 });
  const { timers, hosts, dispatchers } = fixture;
  submit(getItem(dispatchers, 0), 'running', 1);
  await timers.advance(20);
  submit(getItem(dispatchers, 0), 'usual', 3);
  await timers.advance(20);
  submit(getItem(dispatchers, 1), 'urgent', 2, urgent);
  await timers.advance(1_000);
  t.deepEqual(
    first(hosts).worker.starts.map(({ jobId }) => jobId),
    ['running', 'urgent', 'urgent', 'usual', 'usual', 'usual'],
  );
});

test('a job that would end too late is refused within a round trip, and none of its tasks runs', async t => {
  const fixture = await start({ dispatchers: 2, workers: 1, processors: 1 });
  const { timers, hosts, dispatchers } = fixture;
  submit(getItem(dispatchers, 0), 'long', 8);
  await timers.advance(20);
  const queue = createQueue({ queue: 'short', slackFactor: 1.2 });
  const short = submit(getItem(dispatchers, 1), 'short', 1, queue);
  await timers.advance(5);
  t.is(short.ends[0]?.kind, TransientJobEndKind.Refused);
  await timers.advance(3_000);
  const { starts } = first(hosts).worker;
  t.false(starts.some(({ jobId }) => jobId === 'short'));
});

test('no task waits at one coordinator while workers of another have room', async t => {
  const fixture = await start({ dispatchers: 7, workers: 8, processors: 2 });
  const { timers, hosts, dispatchers } = fixture;
  const coordinators = new Set(
    [...first(dispatchers).jobs.workers.listWorkers('register')].map(
      known => known.coordination.coordinator,
    ),
  );
  t.is(coordinators.size, 2);
  submit(getItem(dispatchers, 3), 'job', 16);
  await timers.advance(20);
  t.deepEqual(
    hosts.map(({ worker }) => worker.starts.length),
    new Array(8).fill(2),
  );
});

test('a task waits no longer for a coordinator whose workers are gone', async t => {
  const fixture = await start({ dispatchers: 2, workers: 2, processors: 1 });
  const { timers, hosts, network, dispatchers } = fixture;
  const coordinator = getItem(dispatchers, findCoordinator(fixture));
  const other = getItem(
    dispatchers.filter(one => one !== coordinator),
    0,
  );
  // The worker of the second host belongs to the other dispatcher then.
  network.partition(coordinator.name, 'sidecar-1');
  await timers.advance(3_000);
  for (const { worker } of hosts) worker.runMilliseconds = 300;
  submit(other, 'running', 2);
  await timers.advance(20);
  const waiting = submit(other, 'waiting', 2);
  await timers.advance(20);
  getItem(hosts, 0).worker.crash();
  await timers.advance(2_500);
  t.true(isCompleted(waiting));
});

test('a job none of whose tasks has started is refused once its end would be of no use, and one with a lost run is not', async t => {
  const fixture = await start({ dispatchers: 2, workers: 2, processors: 1 });
  const { timers, hosts, dispatchers } = fixture;
  const jobs = getItem(dispatchers, 0);
  for (const { worker } of hosts) worker.runMilliseconds = 1_500;
  submit(jobs, 'running', 1);
  const lost = submit(jobs, 'lost', 1);
  await timers.advance(300);
  const position = hosts.findIndex(({ worker }) =>
    worker.starts.some(({ jobId }) => jobId === 'lost'),
  );
  const queue = createQueue({ targetLatencyMilliseconds: 150 });
  const waiting = submit(jobs, 'waiting', 1, queue);
  getItem(hosts, position).worker.crash();
  await timers.advance(1_300);
  t.is(waiting.ends[0]?.kind, TransientJobEndKind.Refused);
  t.deepEqual(lost.ends, []);
  await timers.advance(4_000);
  t.true(isCompleted(lost));
  const starts = hosts.flatMap(({ worker }) => worker.starts);
  t.false(starts.some(({ jobId }) => jobId === 'waiting'));
});

test('a waiting job is refused as soon as more urgent work keeps it from ending in time to be of use', async t => {
  const fixture = await start({ dispatchers: 2, workers: 1, processors: 1 });
  const { timers, hosts, dispatchers } = fixture;
  const jobs = getItem(dispatchers, 0);
  submit(jobs, 'running', 1, urgent);
  await timers.advance(20);
  const queue = createQueue({
    queue: 'waiting',
    priority: 2,
    targetLatencyMilliseconds: 300,
  });
  const submittedAt = timers.now();
  const waiting = submit(jobs, 'waiting', 1, queue);
  await timers.advance(20);
  // Twice as much urgent work as the worker can do, for longer than the waiting job is of use.
  for (let number = 0; number < 30; number += 1) {
    submit(getItem(dispatchers, number % 2), String(number), 1, urgent);
    await timers.advance(50);
    if (waiting.ends.length > 0) break;
  }
  t.is(waiting.ends[0]?.kind, TransientJobEndKind.Refused);
  const waitedMilliseconds = timers.now() - submittedAt;
  t.true(waitedMilliseconds < 600, String(waitedMilliseconds));
  await timers.advance(5_000);
  const { starts } = first(hosts).worker;
  t.false(starts.some(({ jobId }) => jobId === 'waiting'));
});

test('an abandoned job leaves nothing in the queue', async t => {
  const fixture = await start({ dispatchers: 2, workers: 1, processors: 1 });
  const { timers, hosts, dispatchers } = fixture;
  submit(getItem(dispatchers, 0), 'running', 1);
  await timers.advance(20);
  const waiting = getItem(dispatchers, 1).jobs.submit(
    createJob('waiting', 2, { queue: usual }),
  );
  await timers.advance(20);
  waiting.abandon();
  const last = submit(getItem(dispatchers, 0), 'last', 1);
  await timers.advance(400);
  t.true(isCompleted(last));
  t.deepEqual(
    first(hosts).worker.starts.map(({ jobId }) => jobId),
    ['running', 'last'],
  );
});

test('jobs complete while their coordinator is cut off from their dispatcher', async t => {
  const fixture = await start({ dispatchers: 3, workers: 3, processors: 2 });
  const { timers, network, dispatchers } = fixture;
  const coordinator = getItem(dispatchers, findCoordinator(fixture));
  const other = getItem(
    dispatchers.filter(one => one !== coordinator),
    0,
  );
  const before = submit(other, 'before', 12);
  await timers.advance(20);
  network.partition(coordinator.name, other.name);
  const during = submit(other, 'during', 2);
  await timers.advance(1_500);
  t.true(isCompleted(before));
  t.true(isCompleted(during));
  t.true(count(fixture, Counter.CapacityRequestsUnanswered) > 0);
  t.deepEqual(fixture.violations, []);
});

test('jobs complete when their coordinator is restarted, and the sidecars choose another one at once', async t => {
  const fixture = await start({ dispatchers: 3, workers: 3, processors: 2 });
  const { timers, dispatchers } = fixture;
  const position = findCoordinator(fixture);
  const coordinator = getItem(dispatchers, position);
  const other = getItem(
    dispatchers.filter(one => one !== coordinator),
    0,
  );
  const before = submit(other, 'before', 12);
  await timers.advance(20);
  await coordinator.restart();
  await timers.advance(100);
  const during = submit(other, 'during', 2);
  await timers.advance(1_500);
  t.true(isCompleted(before));
  t.true(isCompleted(during));
  t.deepEqual(fixture.violations, []);
});

test('capacity granted to a dispatcher that is gone is granted again', async t => {
  const fixture = await start({ dispatchers: 3, workers: 1, processors: 2 });
  const { timers, network, dispatchers } = fixture;
  const coordinator = getItem(dispatchers, findCoordinator(fixture));
  const [lost, other] = dispatchers.filter(one => one !== coordinator);
  if (lost === undefined || other === undefined) return t.fail();
  submit(lost, 'lost', 2);
  await timers.advance(1);
  // The grants are on their way, and no order follows.
  network.partition(lost.name, coordinator.name);
  network.partition(lost.name, 'sidecar-0');
  const job = submit(other, 'job', 2);
  await timers.advance(400);
  t.true(isCompleted(job));
  t.true(count(fixture, Counter.CapacityGrantsExpired) > 0);
});

import type { CapacityRequest } from '@cranberryturn/types';
import test from 'ava';

import { oneProcessor } from '../fakes/create-job.js';
import {
  CapacityQueue,
  isTooLate,
  type QueuedRequest,
} from './capacity-queue.js';
import { estimateWait } from './estimate-wait.js';
import { GrantedWork } from './granted-work.js';

function createEntry(
  name: string,
  priority: number,
  dueAt: number,
): QueuedRequest {
  const request: CapacityRequest = {
    request: 1,
    jobId: name,
    requestId: name,
    service: 'register',
    queue: 'lookups',
    dataCentre: 'dong-da',
    tasks: 2,
    need: oneProcessor,
    priority,
    estimatedMilliseconds: 100,
    dueMilliseconds: dueAt,
    excludedWorkers: [],
  };
  return {
    dispatcher: name,
    request,
    dueAt,
    usefulUntil: 3 * dueAt,
    arrivedAt: 0,
    tasks: 2,
  };
}

test('requests are served by priority, then those that can end in time, then by due time', t => {
  const queue = new CapacityQueue();
  queue.add(createEntry('usual', 1, 500));
  queue.add(createEntry('usual and late', 1, 50));
  queue.add(createEntry('urgent and late', 0, 50));
  queue.add(createEntry('urgent', 0, 800));
  queue.add(createEntry('urgent and due', 0, 400));
  const visited: string[] = [];
  queue.visitByUrgency(0, ({ dispatcher }) => visited.push(dispatcher));
  t.deepEqual(visited, [
    'urgent and due',
    'urgent',
    'urgent and late',
    'usual',
    'usual and late',
  ]);
});

test('the work before a request is that of the more urgent ones, not of those behind it or late anyway', t => {
  const queue = new CapacityQueue();
  queue.add(createEntry('before', 0, 500));
  queue.add(createEntry('behind', 2, 500));
  queue.add(createEntry('late', 1, 50));
  t.is(queue.sumWorkBefore(createEntry('request', 1, 500), 0), 200);
  t.is(queue.sumWorkBefore(createEntry('late as well', 1, 60), 0), 400);
  t.is(queue.sumWork('register'), 600);
  t.is(queue.sumWork('other'), 0);
});

const waitInput = {
  processors: 100,
  moreUrgentProcessors: 0,
  missingProcessors: 0,
  busyProcessors: 100,
  runningWork: 10_000,
  workUntilLast: 1_000,
};

test('a wait is longer where more urgent work arrives, and bounded where it takes all workers', t => {
  t.deepEqual(
    [0, 50, 100, 500].map(moreUrgentProcessors =>
      estimateWait({ ...waitInput, moreUrgentProcessors }),
    ),
    [10, 20, 100, 100],
  );
});

test('a wait includes the time until the first processors are free, which few busy workers make long', t => {
  const input = { ...waitInput, missingProcessors: 2 };
  t.is(estimateWait(input), 12);
  t.is(
    estimateWait({ ...input, busyProcessors: 2, runningWork: 2_000 }),
    1_010,
  );
});

test('granted work fades within seconds, and only more urgent work counts', t => {
  const granted = new GrantedWork();
  granted.add(0, 1_000, 0);
  granted.add(2, 9_000, 0);
  t.is(granted.measureMoreUrgent(0, 0), 0);
  t.is(granted.measureMoreUrgent(1, 0), 1);
  t.true(granted.measureMoreUrgent(1, 3_000) < 0.1);
});

test('a job is too late once its tasks start so late that its end is of no use', t => {
  const entry = createEntry('request', 1, 300);
  t.false(isTooLate(entry, 800));
  t.true(isTooLate(entry, 801));
});

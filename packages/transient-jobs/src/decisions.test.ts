/** Placement, run time estimates and admission under the load patterns that they are designed for. */
import { createRandomSource } from '@cranberryturn/random';
import type { WorkerLoad, WorkerRun } from '@cranberryturn/types';
import test from 'ava';

import { chooseWorkers, type PlacementRequest } from './choose-workers.js';
import { decideAdmission, type AdmissionRequest } from './decide-admission.js';
import { first } from './fakes/get-item.js';
import { createQueue, oneProcessor } from './fakes/jobs-fixture.js';
import {
  createKnownWorker,
  type KnownWorker,
  recordDelay,
  recordProbe,
  recordSuccess,
  recordFailure,
} from './known-worker.js';
import { RunTimeEstimates } from './run-time-estimates.js';

const processors = 10;

function createWorker(
  name: string,
  load: Partial<WorkerLoad> = {},
): KnownWorker {
  const worker: WorkerRun = {
    workerId: name,
    incarnation: name,
    service: 'register',
    capacity: { processors, memoryMebibytes: 10_000, accelerators: 0 },
    labels: ['rack-1'],
    dataCentre: 'dong-da',
  };
  return createKnownWorker(
    worker,
    {
      free: worker.capacity,
      waitingWork: [0, 0, 0, 0],
      runningWork: 0,
      closed: false,
      ...load,
    },
    0,
  );
}

const full: Partial<WorkerLoad> = {
  free: { processors: 0, memoryMebibytes: 9_000, accelerators: 0 },
  runningWork: 1_000,
};

function createRequest(
  tasks: number,
  overrides: Partial<PlacementRequest> = {},
): PlacementRequest {
  return {
    step: { tasks, need: oneProcessor, estimatedMilliseconds: 100, after: [] },
    priority: 1,
    estimateMilliseconds: 100,
    tasks,
    dataCentre: 'dong-da',
    remoteFactor: 1.5,
    excludedWorkers: new Set(),
    placedTasks: new Map(),
    ...overrides,
  };
}

function choose(request: PlacementRequest, workers: readonly KnownWorker[]) {
  return chooseWorkers(request, workers, createRandomSource(1), 0).map(
    ({ known, tasks }) => [known.workerId, tasks] as const,
  );
}

test('tasks are placed on workers with free capacity, not on a full worker', t => {
  const workers = [createWorker('full', full), createWorker('free')];
  t.deepEqual(choose(createRequest(8), workers), [['free', 8]]);
});

test('a job with many tasks is spread, so that no worker is blocked for other jobs', t => {
  const workers = ['a', 'b', 'c', 'd'].map(name => createWorker(name));
  const counts = choose(createRequest(16), workers).map(([, tasks]) => tasks);
  t.is(counts.length, 4);
  t.true(Math.max(...counts) <= 5);
});

test('of two full workers, the one whose queued work is less urgent is chosen', t => {
  const urgent = createWorker('urgent', {
    ...full,
    waitingWork: [900, 0, 0, 0],
  });
  const idle = createWorker('less-urgent', {
    ...full,
    waitingWork: [0, 0, 900, 0],
  });
  t.deepEqual(choose(createRequest(1), [urgent, idle]), [['less-urgent', 1]]);
});

test('a slow worker receives tasks only once the fast workers are full', t => {
  const slow = createWorker('slow');
  for (let run = 0; run < 20; run += 1) recordSuccess(slow, 100, 400);
  t.deepEqual(choose(createRequest(4), [slow, createWorker('fast')]), [
    ['fast', 4],
  ]);
});

test('a worker whose sidecar is on a slow host receives tasks only once the others are full', t => {
  const behind = createWorker('behind');
  for (let run = 0; run < 20; run += 1) recordDelay(behind, 80);
  t.deepEqual(choose(createRequest(4), [behind, createWorker('prompt')]), [
    ['prompt', 4],
  ]);
});

test('a worker that fails its tasks is backed off for longer each time', t => {
  const failing = createWorker('failing');
  recordFailure(failing, 0);
  const firstBackoffUntil = failing.backoffUntil;
  t.deepEqual(choose(createRequest(2), [failing, createWorker('other')]), [
    ['other', 2],
  ]);
  recordFailure(failing, 0);
  t.true(failing.backoffUntil > firstBackoffUntil);
});

test('a worker that failed gets a single task as a probe, and further ones only once that one has succeeded', t => {
  const known = createWorker('failing');
  recordFailure(known, 0);
  const probe = (now: number) =>
    chooseWorkers(
      createRequest(4, { probesFailedWorkers: true }),
      [known],
      createRandomSource(1),
      now,
    );
  known.lastHeardAt = 400;
  t.deepEqual(
    probe(400).map(one => one.tasks),
    [1],
  );
  recordProbe(known, 100, 400);
  t.deepEqual(probe(500), []);
  recordSuccess(known, 100, 100);
  t.deepEqual(
    probe(500).map(one => one.tasks),
    [4],
  );
});

test('no worker receives more tasks of a step than the maximum per worker', t => {
  const step = { ...createRequest(6).step, mostPerWorker: 2 };
  const workers = ['a', 'b'].map(name => createWorker(name));
  const placed = choose(createRequest(6, { step }), workers);
  t.deepEqual(
    placed.map(([, tasks]) => tasks),
    [2, 2],
  );
});

test('tasks are placed near their data where they end sooner there', t => {
  const near = createWorker('near');
  const far = createWorker('far');
  far.worker = { ...far.worker, labels: ['rack-2'] };
  const step = { ...createRequest(2).step, dataLabel: 'rack-1' };
  t.deepEqual(choose(createRequest(2, { step }), [far, near]), [['near', 2]]);
});

test('a constant error of declared run times is corrected for each queue separately', t => {
  const estimates = new RunTimeEstimates();
  for (let run = 0; run < 100; run += 1)
    estimates.recordRunTime('off', 100, 160, 1);
  t.is(Math.round(estimates.estimateRunTime('off', 200)), 320);
  t.is(estimates.estimateRunTime('other', 200), 200);
});

test('randomly wrong declared run times are weighted against the usual run time of the queue', t => {
  const random = createRandomSource(7);
  const spread = 0.4;
  const draw = (): number =>
    spread *
    Math.sqrt(-2 * Math.log(1 - random.fraction())) *
    Math.cos(2 * Math.PI * random.fraction());
  const estimates = new RunTimeEstimates();
  let declaredError = 0;
  let estimateError = 0;
  for (let run = 0; run < 2_000; run += 1) {
    const actual = 300 * Math.exp(draw());
    const declared = actual * Math.exp(draw());
    const estimate = estimates.estimateRunTime('off', declared);
    estimates.recordRunTime('off', declared, actual, 1);
    if (run < 200) continue;
    declaredError += Math.abs(Math.log(declared / actual));
    estimateError += Math.abs(Math.log(estimate / actual));
  }
  // Declarations and run times have the same variance, so the best estimate halves the variance of the error.
  t.true(estimateError < declaredError * 0.8);
});

const admissionRequest: AdmissionRequest = {
  queue: createQueue(),
  criticalPathMilliseconds: 100,
  waitMilliseconds: 0,
  heldMilliseconds: 0,
  deadlineMilliseconds: 2_000,
  canBeHeld: true,
  hasWorkers: true,
};

test('a job that can start at once is admitted; one that would end too late receives a retry time', t => {
  t.is(decideAdmission(admissionRequest), undefined);
  t.is(
    decideAdmission({ ...admissionRequest, waitMilliseconds: 50 }),
    undefined,
  );
  const refusal = decideAdmission({
    ...admissionRequest,
    waitMilliseconds: 1_500,
  });
  t.true((refusal?.retryAfterMilliseconds ?? 0) >= 1_000);
});

test('after an outage, a job that was held for too long is refused in favour of new jobs', t => {
  // The response time objective is 220 ms: 1.6 times 100 ms, and 60 ms.
  const isAdmitted = (heldMilliseconds: number, waitMilliseconds: number) =>
    decideAdmission({
      ...admissionRequest,
      heldMilliseconds,
      waitMilliseconds,
    }) === undefined;
  t.true(isAdmitted(100, 0));
  t.true(isAdmitted(500, 0));
  t.false(isAdmitted(800, 0));
  t.true(isAdmitted(100, 20));
  t.false(isAdmitted(100, 50));
});

test('a job that no worker can hold is refused without a retry time, a job without workers with one', t => {
  t.is(
    decideAdmission({ ...admissionRequest, canBeHeld: false })
      ?.retryAfterMilliseconds,
    undefined,
  );
  t.is(
    decideAdmission({ ...admissionRequest, hasWorkers: false })
      ?.retryAfterMilliseconds,
    1_000,
  );
  t.is(
    decideAdmission({ ...admissionRequest, waitMilliseconds: undefined })
      ?.retryAfterMilliseconds,
    1_000,
  );
});

test('jobs of one queue that overflow are refused while those that can end in time are run', t => {
  const waits = [0, 50, 100, 200, 400, 800];
  const refused = waits.map(
    waitMilliseconds =>
      decideAdmission({ ...admissionRequest, waitMilliseconds }) !== undefined,
  );
  t.snapshot(
    Object.fromEntries(waits.map((wait, index) => [wait, refused[index]])),
  );
  t.false(first(refused));
});

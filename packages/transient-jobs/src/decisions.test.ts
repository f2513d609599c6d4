/** The decisions of a dispatcher under the loads that they answer. */
import { createRandomSource } from '@cranberryturn/random';
import type { WorkerLoad, WorkerRun } from '@cranberryturn/types';
import test from 'ava';

import { chooseWorkers, type PlacementQuestion } from './choose-workers.js';
import { decideJob, type JobQuestion } from './decide-job.js';
import { describeQueue, first, oneProcessor } from './fakes/jobs-fixture.js';
import {
  createKnownWorker,
  type KnownWorker,
  noteDelay,
  noteDone,
  noteFailure,
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

function ask(
  tasks: number,
  overrides: Partial<PlacementQuestion> = {},
): PlacementQuestion {
  return {
    step: { tasks, need: oneProcessor, estimatedMilliseconds: 100, after: [] },
    priority: 1,
    estimate: 100,
    tasks,
    dataCentre: 'dong-da',
    remoteFactor: 1.5,
    excluded: new Set(),
    placed: new Map(),
    ...overrides,
  };
}

function choose(question: PlacementQuestion, workers: readonly KnownWorker[]) {
  return chooseWorkers(question, workers, createRandomSource(1), 0).map(
    ({ known, tasks }) => [known.workerId, tasks] as const,
  );
}

test('tasks go where there is room, not to a worker that is full', t => {
  const workers = [createWorker('full', full), createWorker('free')];
  t.deepEqual(choose(ask(8), workers), [['free', 8]]);
});

test('a wide job is spread, so that no worker is filled for others', t => {
  const workers = ['a', 'b', 'c', 'd'].map(name => createWorker(name));
  const counts = choose(ask(16), workers).map(([, tasks]) => tasks);
  t.is(counts.length, 4);
  t.true(Math.max(...counts) <= 5);
});

test('of two full workers, the one with less urgent work ahead is chosen', t => {
  const urgent = createWorker('urgent', {
    ...full,
    waitingWork: [900, 0, 0, 0],
  });
  const idle = createWorker('less-urgent', {
    ...full,
    waitingWork: [0, 0, 900, 0],
  });
  t.deepEqual(choose(ask(1), [urgent, idle]), [['less-urgent', 1]]);
});

test('a slow worker gets work only once the fast ones are full', t => {
  const slow = createWorker('slow');
  for (let run = 0; run < 20; run += 1) noteDone(slow, 100, 400);
  t.deepEqual(choose(ask(4), [slow, createWorker('fast')]), [['fast', 4]]);
});

test('a worker whose sidecar is on a slow host gets work only once the others are full', t => {
  const behind = createWorker('behind');
  for (let run = 0; run < 20; run += 1) noteDelay(behind, 80);
  t.deepEqual(choose(ask(4), [behind, createWorker('prompt')]), [
    ['prompt', 4],
  ]);
});

test('a worker that fails its tasks rests, for longer each time', t => {
  const failing = createWorker('failing');
  noteFailure(failing, 0);
  const rest = failing.avoidedUntil;
  t.deepEqual(choose(ask(2), [failing, createWorker('other')]), [['other', 2]]);
  noteFailure(failing, 0);
  t.true(failing.avoidedUntil > rest);
});

test('no worker gets more tasks of a step than it may', t => {
  const step = { ...ask(6).step, mostPerWorker: 2 };
  const workers = ['a', 'b'].map(name => createWorker(name));
  const placed = choose(ask(6, { step }), workers);
  t.deepEqual(
    placed.map(([, tasks]) => tasks),
    [2, 2],
  );
});

test('tasks go near their data where that ends them sooner', t => {
  const near = createWorker('near');
  const far = createWorker('far');
  far.worker = { ...far.worker, labels: ['rack-2'] };
  const step = { ...ask(2).step, dataLabel: 'rack-1' };
  t.deepEqual(choose(ask(2, { step }), [far, near]), [['near', 2]]);
});

test('declared run times that are far off are corrected for each queue by itself', t => {
  const estimates = new RunTimeEstimates();
  for (let run = 0; run < 100; run += 1) estimates.learn('off', 100, 160, 1);
  t.is(Math.round(estimates.estimate('off', 200)), 320);
  t.is(estimates.estimate('other', 200), 200);
});

test('declared run times that are off by chance are weighed against what the queue usually takes', t => {
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
    const estimate = estimates.estimate('off', declared);
    estimates.learn('off', declared, actual, 1);
    if (run < 200) continue;
    declaredError += Math.abs(Math.log(declared / actual));
    estimateError += Math.abs(Math.log(estimate / actual));
  }
  // Both spreads are equal: the best estimate halves the variance of the error.
  t.true(estimateError < declaredError * 0.8);
});

const question: JobQuestion = {
  queue: describeQueue(),
  chainMilliseconds: 100,
  waitMilliseconds: 0,
  heldMilliseconds: 0,
  deadlineMilliseconds: 2_000,
  isPossible: true,
  hasWorkers: true,
};

test('a job that starts at once is admitted; one that would end too late is told when to come back', t => {
  t.is(decideJob(question), undefined);
  t.is(decideJob({ ...question, waitMilliseconds: 50 }), undefined);
  const refusal = decideJob({ ...question, waitMilliseconds: 1_500 });
  t.true((refusal?.retryAfterMilliseconds ?? 0) >= 1_000);
});

test('after an outage, a job that was held beyond its use makes way for those that arrive', t => {
  // Aimed at: 220 ms.
  const held = (heldMilliseconds: number, waitMilliseconds: number) =>
    decideJob({ ...question, heldMilliseconds, waitMilliseconds }) ===
    undefined;
  t.true(held(100, 0));
  t.true(held(500, 0));
  t.false(held(800, 0));
  t.true(held(100, 20));
  t.false(held(100, 50));
});

test('a job that cannot be done is refused for good, one without workers for now', t => {
  t.is(
    decideJob({ ...question, isPossible: false })?.retryAfterMilliseconds,
    undefined,
  );
  t.is(
    decideJob({ ...question, hasWorkers: false })?.retryAfterMilliseconds,
    1_000,
  );
  t.is(
    decideJob({ ...question, waitMilliseconds: undefined })
      ?.retryAfterMilliseconds,
    1_000,
  );
});

test('jobs of one queue that overflow are refused while those that can end in time are run', t => {
  const waits = [0, 50, 100, 200, 400, 800];
  const refused = waits.map(
    waitMilliseconds =>
      decideJob({ ...question, waitMilliseconds }) !== undefined,
  );
  t.snapshot(
    Object.fromEntries(waits.map((wait, place) => [wait, refused[place]])),
  );
  t.false(first(refused));
});

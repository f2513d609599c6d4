import {
  createHttpPlatform,
  createHttpTarget,
  createLeasedTarget,
  pollUsage,
  TargetFailureKind,
} from '@cranberryturn/sidecar';
import {
  PlatformFault,
  type StandInPlatform,
  type StandInTarget,
  startStandInPlatform,
  startStandInTarget,
} from '@cranberryturn/stand-ins';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import {
  type AttemptStart,
  CancelledTaskTreatment,
  JobOutcome,
  NotStartedReason,
} from '@cranberryturn/types';
import test, { type ExecutionContext } from 'ava';

import { composeJob, startMemoryCluster } from './fakes/memory-cluster.js';

const timeoutMilliseconds = 1_000;
const stepMilliseconds = 10;

/** A target, its platform and the sidecar's ports to both, over HTTP and under one manual clock. */
interface LeaseFixture {
  readonly timers: ManualTimerService;
  readonly target: StandInTarget;
  readonly platform: StandInPlatform;
  readonly port: ReturnType<typeof createHttpPlatform>;
  run(
    taskId: string,
    runMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<unknown>;
}

async function createLeaseFixture(t: ExecutionContext): Promise<LeaseFixture> {
  const timers = createManualTimerService();
  const targetId = 'worker-1';
  const target = await startStandInTarget({ targetId, timers, seed: 1 });
  const platform = await startStandInPlatform({
    timers,
    targets: [target],
    usageLagMilliseconds: 200,
    leaseMilliseconds: 300,
  });
  const port = createHttpPlatform({
    url: platform.url,
    targetId,
    timeoutMilliseconds,
    connections: 8,
    timers,
  });
  const leased = createLeasedTarget({
    target: createHttpTarget({ url: target.url, connections: 8 }),
    platform: port,
    timers,
    cancelledTasks: CancelledTaskTreatment.CheckpointAndStop,
    throttleShare: 0.5,
  });
  t.teardown(async () => {
    await target.close();
    await platform.close();
    await port.close();
  });
  const run: LeaseFixture['run'] = async (taskId, runMilliseconds, signal) => {
    const answer = await leased.runAttempt(
      composeAttempt(taskId, runMilliseconds),
      signal ?? new AbortController().signal,
    );
    return answer.isOk() ? JSON.parse(answer.value) : answer.error;
  };
  return { timers, target, platform, port, run };
}

function composeAttempt(taskId: string, runMilliseconds: number): AttemptStart {
  return {
    jobId: 'job',
    taskId,
    attempt: 1,
    epoch: 1,
    service: 'register-svc',
    dispatcher: 'dispatcher-1',
    payload: JSON.stringify({ runMilliseconds, answerBytes: 1 }),
    idempotent: false,
    remainingMilliseconds: 60_000,
  };
}

/** Advances the manual clock until the promise settles, while real sockets carry the requests. */
async function advanceUntilSettled<Value>(
  timers: ManualTimerService,
  pending: Promise<Value>,
): Promise<Value> {
  let isSettled = false;
  void pending.finally(() => {
    isSettled = true;
  });
  while (!isSettled) {
    for (let turn = 0; turn < 20; turn += 1) {
      await new Promise(resolve => setImmediate(resolve));
    }
    await timers.advance(stepMilliseconds);
  }
  return pending;
}

test('the lease of a task that outlives it is renewed', async t => {
  const { timers, target, platform, run } = await createLeaseFixture(t);
  t.like(await advanceUntilSettled(timers, run('long', 2_000)), {
    taskId: 'long',
  });
  const actions = platform.actions.map(one => one.act);
  t.true(actions.filter(one => one === 'renew').length > 2);
  t.is(target.starts.list().length, 1);
});

test('no task starts while the platform refuses leases or is silent, and the task starts once later', async t => {
  const { timers, target, platform, run } = await createLeaseFixture(t);
  const faults = [
    PlatformFault.Refusing,
    PlatformFault.Silent,
    PlatformFault.AnswersLost,
  ];
  for (const fault of faults) {
    platform.setFault(fault);
    t.like(await advanceUntilSettled(timers, run('task', 10)), {
      kind: TargetFailureKind.NotAsked,
      cause: NotStartedReason.LeaseRefused,
    });
  }
  t.deepEqual(target.starts.list(), []);
  platform.setFault(PlatformFault.None);
  t.like(await advanceUntilSettled(timers, run('task', 10)), {
    taskId: 'task',
  });
  t.like(target.starts.list(), [{ starts: 1 }]);
});

test('a cancelled task is checkpointed and stopped on the worker', async t => {
  const { timers, target, platform, run } = await createLeaseFixture(t);
  const abort = new AbortController();
  const ended = run('task', 60_000, abort.signal);
  while (target.running.count() === 0) {
    await new Promise(resolve => setImmediate(resolve));
  }
  abort.abort(new Error('cancelled'));
  t.like(await advanceUntilSettled(timers, ended), {
    kind: TargetFailureKind.Failed,
  });
  t.is(target.running.count(), 0);
  const actions = platform.actions.map(one => one.act);
  t.deepEqual(
    actions.filter(one => one !== 'renew' && one !== 'end'),
    ['checkpoint', 'stop'],
  );
});

test('usage is read with its age, which grows while the platform is silent', async t => {
  const { timers, platform, port, run } = await createLeaseFixture(t);
  const usage = pollUsage(port, timers, 500);
  await advanceUntilSettled(timers, run('task', 3_000));
  const before = usage.latest();
  t.is(before?.processors, 1);
  t.true((before?.ageMilliseconds ?? 0) >= 200);
  platform.setFault(PlatformFault.Silent);
  const readings = usage.readingCount();
  await timers.advance(10_000);
  t.true(
    (usage.latest()?.ageMilliseconds ?? 0) >
      (before?.ageMilliseconds ?? 0) + 9_000,
  );
  t.true(usage.readingCount() <= readings + 1);
  await timers.advance(60_000);
  t.is(usage.latest(), undefined);
  usage.stop();
});

test('an adopter learns that a task it waits for was never started', async t => {
  const cluster = await startMemoryCluster({
    dispatchers: 2,
    workers: 1,
    slots: 2,
    runMilliseconds: 20,
  });
  const { timers, workers, dispatchers } = cluster;
  const target = workers[0]?.target;
  if (target === undefined) throw new Error('There is no worker.');
  target.leaseDelayMilliseconds = 4_000;
  const [first, second] = dispatchers;
  void first?.dispatcher.jobs.submitJob(composeJob('job-1', 2, 20_000), 'one');
  await timers.advance(50);
  first?.crash();
  target.isRefusingLeases = true;
  let outcome: JobOutcome | undefined;
  void second?.dispatcher.jobs
    .submitJob(composeJob('job-1', 2, 20_000), 'two')
    .then(submission => {
      if ('result' in submission) outcome = submission.result.outcome;
    });
  await timers.advance(5_000);
  target.isRefusingLeases = false;
  target.leaseDelayMilliseconds = 0;
  await timers.advance(15_000);
  t.is(outcome, JobOutcome.Complete);
  t.is(Math.max(...cluster.countStarts().values()), 1);
  await cluster.stop();
});

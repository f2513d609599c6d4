import { ConnectionError, RefusedError } from '@cranberryturn/errors';
import {
  createManualTimerService,
  type ManualTimerService,
  sleep,
} from '@cranberryturn/timers';
import {
  type AttemptStart,
  CancelledTaskTreatment,
  NotStartedReason,
} from '@cranberryturn/types';
import test from 'ava';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import type {
  PlatformError,
  PlatformLease,
  PlatformPort,
} from './ports/platform.js';
import { TargetFailureKind, type TargetPort } from './ports/target.js';
import { createLeasedTarget } from './run-under-lease.js';

const leaseMilliseconds = 900;
const origin = { step: 'test', peer: 'platform' };
const refused = new RefusedError('No.', origin);
const noResponse = new ConnectionError('Silence.', origin);

const attempt: AttemptStart = {
  jobId: 'job',
  taskId: 'task',
  attempt: 1,
  epoch: 1,
  service: 'register-svc',
  dispatcher: 'dispatcher-1',
  payload: '{}',
  idempotent: false,
  remainingMilliseconds: 60_000,
};

/** Records the requests to the platform and answers with the given failures. */
interface FakePlatform extends PlatformPort {
  readonly asked: string[];
  readonly failures: Map<string, PlatformError>;
  leaseDelayMilliseconds: number;
}

function createFakePlatform(timers: ManualTimerService): FakePlatform {
  const asked: string[] = [];
  const failures = new Map<string, PlatformError>();
  const lease: PlatformLease = {
    leaseId: 'lease-1',
    expiresInMilliseconds: leaseMilliseconds,
  };
  const act = <Value>(name: string, value: Value) => {
    asked.push(name);
    const failure = failures.get(name);
    return new ResultAsync<Value, PlatformError>(
      Promise.resolve(failure === undefined ? ok(value) : err(failure)),
    );
  };
  const platform: FakePlatform = {
    asked,
    failures,
    leaseDelayMilliseconds: 0,
    startLease: () =>
      new ResultAsync(
        sleep(timers, platform.leaseDelayMilliseconds).then(
          (): Promise<Result<PlatformLease, PlatformError>> =>
            Promise.resolve(act('start', lease)),
        ),
      ),
    renewLease: () => act('renew', lease),
    endLease: () => act('end', undefined),
    checkpointTask: () => act('checkpoint', undefined),
    throttleTask: (_leaseId, share) =>
      act(`throttle ${String(share)}`, undefined),
    stopTask: () => act('stop', undefined),
    readUsage: () => {
      throw new Error('No usage is read here.');
    },
    close: () => Promise.resolve(),
  };
  return platform;
}

/** Answers after the given time; an aborted call fails at once. */
function createSlowTarget(timers: ManualTimerService, runMilliseconds: number) {
  const starts: AttemptStart[] = [];
  const target: TargetPort = {
    runAttempt: (started, signal) => {
      starts.push(started);
      return new ResultAsync(
        new Promise(resolve => {
          timers.after(runMilliseconds, () => {
            resolve(ok('"answer"'));
          });
          signal.addEventListener('abort', () => {
            const reason = String(signal.reason);
            resolve(err({ kind: TargetFailureKind.Failed, reason }));
          });
        }),
      );
    },
    close: () => Promise.resolve(),
  };
  return { target, starts };
}

function run(
  runMilliseconds: number,
  cancelledTasks = CancelledTaskTreatment.Stop,
) {
  const timers = createManualTimerService();
  const platform = createFakePlatform(timers);
  const { target, starts } = createSlowTarget(timers, runMilliseconds);
  const leased = createLeasedTarget({
    target,
    platform,
    timers,
    cancelledTasks,
    throttleShare: 0.1,
  });
  const abort = new AbortController();
  const outcome: unknown[] = [];
  const start = (): void => {
    void leased.runAttempt(attempt, abort.signal).then(answer => {
      outcome.push(answer.isOk() ? answer.value : answer.error);
    });
  };
  return { timers, platform, starts, abort, outcome, start };
}

test('a lease is renewed while its task runs and ended after it', async t => {
  const { timers, platform, outcome, start } = run(1_000);
  start();
  await timers.advance(1_500);
  t.deepEqual(outcome, ['"answer"']);
  t.deepEqual(platform.asked, ['start', 'renew', 'renew', 'renew', 'end']);
});

test('a task without a lease is not sent to the target', async t => {
  for (const failure of [refused, noResponse]) {
    const { timers, platform, starts, outcome, start } = run(10);
    platform.failures.set('start', failure);
    start();
    await timers.advance(100);
    t.like(outcome[0], {
      kind: TargetFailureKind.NotAsked,
      cause: NotStartedReason.LeaseRefused,
    });
    t.deepEqual(starts, []);
  }
});

test('an attempt that is cancelled before its lease is granted is not sent to the target', async t => {
  const { timers, platform, starts, abort, outcome, start } = run(10);
  platform.leaseDelayMilliseconds = 50;
  start();
  await timers.advance(20);
  abort.abort();
  await timers.advance(100);
  t.like(outcome[0], { cause: NotStartedReason.Cancelled });
  t.deepEqual(starts, []);
  t.deepEqual(platform.asked, ['start', 'end']);
});

test('a refused renewal aborts the call, an unresponsive platform does not', async t => {
  const lost = run(2_000);
  lost.platform.failures.set('renew', refused);
  lost.start();
  await lost.timers.advance(400);
  t.like(lost.outcome[0], { kind: TargetFailureKind.Failed });

  const unresponsive = run(2_000);
  unresponsive.platform.failures.set('renew', noResponse);
  unresponsive.start();
  await unresponsive.timers.advance(2_100);
  t.deepEqual(unresponsive.outcome, ['"answer"']);
});

test('a cancelled task is stopped, checkpointed or throttled through the platform', async t => {
  const observed: unknown[] = [];
  for (const treatment of Object.values(CancelledTaskTreatment)) {
    const { timers, platform, abort, outcome, start } = run(5_000, treatment);
    start();
    await timers.advance(100);
    abort.abort(new Error('cancelled'));
    await timers.advance(50);
    const atOnce = outcome.length;
    await timers.advance(6_000);
    const asked = platform.asked.filter(name => name !== 'renew');
    observed.push({ treatment, atOnce, outcome, asked });
  }
  t.snapshot(observed);
});

test('a cancelled task frees its slot at once when the platform fails to stop it', async t => {
  const { timers, platform, abort, outcome, start } = run(60_000);
  platform.failures.set('stop', noResponse);
  start();
  await timers.advance(100);
  abort.abort(new Error('cancelled'));
  await timers.advance(10);
  t.like(outcome[0], { kind: TargetFailureKind.Failed });
});

test('a task whose lease expired before its grant was read is not sent to the target', async t => {
  const { timers, platform, starts, outcome, start } = run(1_000);
  platform.leaseDelayMilliseconds = leaseMilliseconds + 1;
  start();
  await timers.advance(leaseMilliseconds + 2);
  t.deepEqual(starts, []);
  t.deepEqual(outcome, [
    {
      kind: TargetFailureKind.NotAsked,
      cause: NotStartedReason.LeaseRefused,
      reason: 'The lease may have expired before its grant arrived.',
    },
  ]);
  t.deepEqual(platform.asked, ['start', 'end']);
});

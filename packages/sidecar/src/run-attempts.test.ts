import { createManualTimerService, sleep } from '@cranberryturn/timers';
import {
  AttemptOutcome,
  type AttemptResult,
  type AttemptStart,
  NotStartedReason,
} from '@cranberryturn/types';
import test from 'ava';
import { ok, ResultAsync } from 'neverthrow';

import { AttemptLedger } from './attempt-ledger.js';
import type { TargetPort } from './ports/target.js';
import { AttemptRunner } from './run-attempts.js';

const runMilliseconds = 100;

function createRunner(queueLimit: number) {
  const timers = createManualTimerService();
  const started: string[] = [];
  const results: AttemptResult[] = [];
  const target: TargetPort = {
    runAttempt: attempt => {
      started.push(attempt.taskId);
      const answered = sleep(timers, runMilliseconds).then(() => ok('1'));
      return new ResultAsync(answered);
    },
    close: () => Promise.resolve(),
  };
  const runner = new AttemptRunner({
    announcement: {
      targetId: 'worker-1',
      incarnation: 'run-1',
      service: 'register-svc',
      host: 'host-1',
      rack: 'rack-1',
      dataCentre: 'hoan-kiem',
      resources: { processors: 8, memoryMebibytes: 1_024, accelerators: 0 },
      slots: 1,
      connections: 8,
    },
    target,
    ledger: new AttemptLedger(timers, {
      startsMilliseconds: 60_000,
      answersBytes: 1_024,
    }),
    timers,
    decisions: () => undefined,
    queueLimit,
    reportResult: result => results.push(result),
  });
  const accept = (taskId: string, slackMilliseconds?: number) => {
    const attempt: AttemptStart = {
      jobId: taskId,
      taskId,
      attempt: 1,
      epoch: 1,
      service: 'register-svc',
      dispatcher: 'dispatcher-1',
      payload: '{}',
      idempotent: false,
      remainingMilliseconds: 60_000,
      slackMilliseconds,
    };
    runner.acceptAttempt(attempt, undefined);
  };
  return { timers, accept, started, results };
}

test('queued attempts start in order of their latest start time, across dispatchers', async t => {
  const { timers, accept, started, results } = createRunner(4);
  accept('running', 0);
  accept('patient', 500);
  accept('late', -50);
  accept('urgent', 20);
  accept('equal', 20);
  accept('refused', -1_000);
  t.deepEqual(
    results.map(one => [one.jobId, one.outcome]),
    [['refused', AttemptOutcome.NotStarted]],
  );
  const [refused] = results;
  if (refused?.outcome === AttemptOutcome.NotStarted)
    t.is(refused.reason, NotStartedReason.Busy);
  for (let run = 0; run < 5; run += 1) await timers.advance(runMilliseconds);
  t.deepEqual(started, ['running', 'late', 'urgent', 'equal', 'patient']);
});

test('queued attempts without slack start in order of arrival', async t => {
  const { timers, accept, started } = createRunner(4);
  for (const name of ['first', 'second', 'third']) accept(name);
  for (let run = 0; run < 3; run += 1) await timers.advance(runMilliseconds);
  t.deepEqual(started, ['first', 'second', 'third']);
});

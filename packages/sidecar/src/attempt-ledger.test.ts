import { createManualTimerService } from '@cranberryturn/timers';
import { type AttemptKey, AttemptOutcome } from '@cranberryturn/types';
import test from 'ava';

import { AttemptLedger, StartPermission } from './attempt-ledger.js';

const answersBytes = 10;
const startsMilliseconds = 600_000;

function createLedger() {
  const timers = createManualTimerService();
  const ledger = new AttemptLedger(timers, {
    startsMilliseconds,
    answersBytes,
  });
  return { timers, ledger };
}

function keyOf(taskId: string, epoch = 1, jobId = 'job'): AttemptKey {
  return { jobId, taskId, attempt: 1, epoch };
}

function answer(key: AttemptKey, text: string) {
  return {
    ...key,
    outcome: AttemptOutcome.Answered as const,
    answer: text,
    runMilliseconds: 5,
  };
}

test('a fence returns ended, running and dropped attempts to the adopter', t => {
  const { ledger } = createLedger();
  for (const taskId of ['dropped', 'kept', 'failed', 'running', 'withdrawn']) {
    ledger.recordStart(keyOf(taskId), 'owner', false);
  }
  ledger.recordEnd(answer(keyOf('dropped'), '"123456"'));
  ledger.recordEnd(answer(keyOf('kept'), '"1234"'));
  ledger.recordEnd({
    ...keyOf('failed'),
    outcome: AttemptOutcome.Failed,
    reason: 'It fails.',
    runMilliseconds: 7,
  });
  ledger.withdrawStart(keyOf('withdrawn'));
  t.snapshot(ledger.fenceJob('job', 2, 'adopter'));
  t.deepEqual(ledger.recordEnd(answer(keyOf('running'), '1')), [
    'owner',
    'adopter',
  ]);
});

test('a task is not started twice, whether its answer is pending, kept or dropped', async t => {
  const { timers, ledger } = createLedger();
  const start = (taskId: string, epoch: number): StartPermission =>
    ledger.recordStart(keyOf(taskId, epoch), 'owner', false);
  for (const taskId of ['a', 'b', 'c']) start(taskId, 1);
  t.is(start('a', 1), StartPermission.AlreadyStarted, 'while it runs');
  for (const taskId of ['a', 'b', 'c']) {
    ledger.recordEnd(answer(keyOf(taskId), '"12345"'));
  }
  ledger.fenceJob('job', 3, 'adopter');
  for (const taskId of ['a', 'b', 'c']) {
    t.is(start(taskId, 3), StartPermission.AlreadyStarted, taskId);
  }
  t.is(start('d', 2), StartPermission.Fenced);
  ledger.forgetOldJobs();
  t.is(ledger.size, 1);
  await timers.advance(startsMilliseconds + 1);
  ledger.forgetOldJobs();
  t.is(ledger.size, 0);
});

test('the ledger does not keep the payload of a start', t => {
  const { ledger } = createLedger();
  const payload = 'x'.repeat(10_000);
  const attempt = { ...keyOf('task'), payload };
  ledger.recordStart(attempt, 'owner', false);
  const { running } = ledger.fenceJob('job', 2, 'adopter');
  t.deepEqual(running, [keyOf('task')]);
});

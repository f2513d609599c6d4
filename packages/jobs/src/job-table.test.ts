import { createManualTimerService } from '@cranberryturn/timers';
import { JobOutcome, type JobResult, Started } from '@cranberryturn/types';
import test from 'ava';

import { JobTable } from './job-table.js';

const retention = {
  answersMilliseconds: 1_000,
  answersBytes: 60,
  heldBytes: 100,
};

function composeComplete(jobId: string, bytes: number): JobResult {
  const answers = [{ taskId: 'a', answer: 'x'.repeat(bytes) }];
  return { jobId, outcome: JobOutcome.Complete, answers };
}

function composeFailed(jobId: string): JobResult {
  return {
    jobId,
    outcome: JobOutcome.Failed,
    reason: '',
    started: Started.No,
    deadlinePassed: false,
  };
}

test('bodies, collected answers and kept results count as held until they are dropped', async t => {
  const timers = createManualTimerService();
  const table = new JobTable(timers, retention);
  table.add('first', 'digest', 40);
  table.addAnswerBytes('first', 50);
  t.is(table.heldBytes, 90);
  t.true(table.hasRoomFor(10));
  t.false(table.hasRoomFor(11));
  table.finish('first', composeComplete('first', 50));
  t.is(table.heldBytes, 50);
  table.addAnswerBytes('first', 50);
  t.is(table.heldBytes, 50);
  table.add('second', 'digest', 30);
  table.withdraw('second', composeFailed('second'));
  t.is(table.heldBytes, 50);
  table.add('third', 'digest', 1);
  table.finish('third', composeComplete('third', 20));
  t.is(table.find('first'), undefined);
  t.is(table.heldBytes, 20);
  await timers.advance(retention.answersMilliseconds);
  t.true(table.hasRoomFor(retention.heldBytes));
  t.is(table.heldBytes, 0);
});

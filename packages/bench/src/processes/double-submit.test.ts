import test from 'ava';

import { runDoubleSubmission } from './double-submit.js';

const jobs = 500;
const seed = 20_261_203;

test('a job submitted at the same moment to two dispatchers starts each task once and answers both alike', async t => {
  t.log(`seed ${String(seed)}, ${String(jobs)} jobs`);
  const submission = await runDoubleSubmission(jobs, seed);
  t.deepEqual(submission.differences, []);
  t.deepEqual(submission.doubleStarts, []);
  t.is(submission.samePairs, jobs);
  t.is(submission.starts, submission.tasks);
});

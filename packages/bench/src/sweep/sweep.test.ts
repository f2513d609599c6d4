import { JobOutcome, Started } from '@cranberryturn/types';
import test from 'ava';

import { SubmissionOutcome } from '../load/job-client.js';
import type { CompletedSubmission } from '../load/run-load.js';
import { composeLoggedJobId } from '../load/summarize-load.js';
import { TraceLineKind } from '../traces/trace-format.js';
import { findSweepViolations } from './find-sweep-violations.js';
import { planSweepTrace } from './plan-sweep-trace.js';
import { runSweep } from './run-sweep.js';

const firstSeed = 20_261_203;
const runs = 60;

test('no promise breaks under random faults', async t => {
  const results = await runSweep(firstSeed, runs);
  t.log(`seeds ${String(firstSeed)} to ${String(firstSeed + runs - 1)}`);
  const violations = results.flatMap(({ seed, violations: runViolations }) =>
    runViolations.map(sentence => `seed ${String(seed)}: ${sentence}`),
  );
  t.deepEqual(violations, []);
  const submissions = results.reduce((sum, run) => sum + run.submissions, 0);
  const complete = results.reduce((sum, run) => sum + run.complete, 0);
  t.log(
    `${String(complete)} of ${String(submissions)} submissions are complete`,
  );
  t.true(complete > submissions / 2);
});

test('a late reply, a false not-started reply and an unrecorded start are found', t => {
  const { events } = planSweepTrace(firstSeed);
  const planned = events.find(one => one.kind === TraceLineKind.Submission);
  if (planned === undefined) throw new Error('The plan has no submission.');
  const { job } = planned;
  const [task] = job.tasks;
  const lateNotStarted: CompletedSubmission = {
    job,
    responseMilliseconds: job.deadlineMilliseconds + 2_000,
    reply: {
      outcome: SubmissionOutcome.Failed,
      status: 502,
      jobOutcome: JobOutcome.Failed,
      started: Started.No,
      answers: [],
    },
  };
  const start = {
    jobId: composeLoggedJobId(job),
    taskId: task?.taskId ?? '',
    starts: 2,
    target: 'worker',
  };
  const system = {
    records: [],
    startCounts: () => [start],
    targetOf: () => 'worker',
    startedAt: 0,
  };
  const found = findSweepViolations([lateNotStarted, lateNotStarted], system);
  t.deepEqual(
    [...new Set(found.map(sentence => sentence.split(':')[0]))].sort(),
    ['false denial', 'late', 'unrecorded-start'],
  );
});

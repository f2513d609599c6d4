import { createManualTimerService } from '@cranberryturn/timers';
import { JobOutcome, Started } from '@cranberryturn/types';
import test from 'ava';

import { readReply } from './create-http-job-client.js';
import {
  bookingShape,
  countSlots,
  deploymentShapes,
} from './deployment-shape.js';
import { type JobClient, SubmissionOutcome } from './job-client.js';
import { type LoadOptions, type LoadPlan, planLoad } from './plan-load.js';
import { runLoad } from './run-load.js';
import { scaleLoad } from './scale-load.js';
import { toObservedReplies, summarizeLoad } from './summarize-load.js';

const options: LoadOptions = {
  shape: bookingShape,
  seed: 7,
  durationMilliseconds: 120_000,
  loadFraction: 0.7,
};

function computeBusySlots(plan: LoadPlan, duration: number): number {
  const work = plan.jobs
    .flatMap(job => job.tasks)
    .reduce((sum, task) => sum + task.runMilliseconds, 0);
  return work / duration;
}

for (const shape of deploymentShapes) {
  test(`a ${shape.name} load keeps the requested fraction of slots busy`, t => {
    const plan = planLoad({ ...options, shape });
    const share =
      computeBusySlots(plan, options.durationMilliseconds) / countSlots(shape);
    t.true(Math.abs(share - 0.7) < 0.05, `share ${String(share)}`);
  });
}

test('a short plan is scaled to exactly the requested load', t => {
  const short = planLoad({ ...options, durationMilliseconds: 6_000 });
  const scaled = scaleLoad(short, 0.7);
  const last = scaled.jobs.at(-1)?.at ?? 0;
  const share = computeBusySlots(scaled, last) / countSlots(bookingShape);
  t.true(Math.abs(share - 0.7) < 1e-9, `share ${String(share)}`);
  t.is(scaled.jobs.length, short.jobs.length);
});

test('the same seed gives the same plan and another seed a different one', t => {
  t.deepEqual(planLoad(options), planLoad(options));
  t.notDeepEqual(
    planLoad(options).jobs,
    planLoad({ ...options, seed: 8 }).jobs,
  );
});

test('a burst raises the arrival rate, and misdeclared run times are wrong by a factor of ten in both directions', t => {
  const burst = { at: 10_000, durationMilliseconds: 10_000, factor: 10 };
  const plan = planLoad({ ...options, bursts: [burst], misdeclaredShare: 1 });
  const count = (from: number): number =>
    plan.jobs.filter(job => job.at >= from && job.at < from + 10_000).length;
  t.true(count(10_000) > 7 * count(30_000));
  const factors = plan.jobs
    .flatMap(job => job.tasks)
    .map(task => (task.declared?.runMilliseconds ?? 0) / task.runMilliseconds);
  t.deepEqual([...new Set(factors.map(one => one.toFixed(1)))].sort(), [
    '0.1',
    '10.0',
  ]);
});

test('response times count from the intended time of submission, so a stall affects every waiting job', async t => {
  const timers = createManualTimerService();
  const [first] = planLoad(options).jobs;
  if (first === undefined) return t.fail('no job planned');
  const task = { taskId: 'task-0', runMilliseconds: 100, answerBytes: 0 };
  const jobs = [0, 10, 20].map(at => ({
    ...first,
    at,
    jobId: `job-${String(at)}`,
    tasks: [task],
  }));
  const client: JobClient = {
    // The system answers no job before 1,000 ms.
    submitJob: job =>
      new Promise(resolve => {
        timers.after(1_000 - timers.now(), () => {
          const answer = {
            taskId: 'task-0',
            echoedJobId: job.jobId,
            echoedTaskId: 'task-0',
          };
          resolve({
            outcome: SubmissionOutcome.Complete,
            status: 200,
            jobOutcome: JobOutcome.Complete,
            answers: [answer],
          });
        });
      }),
    cancelJob: () => Promise.resolve(),
    close: () => Promise.resolve(),
  };
  const receivedReplies: string[] = [];
  const running = runLoad(
    { seed: 7, shape: bookingShape, jobs },
    {
      client,
      timers,
      onReply: ({ job, reply }) =>
        receivedReplies.push(`${job.jobId} ${reply.outcome}`),
    },
  );
  await timers.advance(1_000);
  const submissions = await running;
  const summary = summarizeLoad(submissions, 0);
  t.deepEqual(
    submissions.map(one => one.responseMilliseconds),
    [1_000, 990, 980],
  );
  t.is(summary.complete, 3);
  t.deepEqual(
    receivedReplies,
    jobs.map(({ jobId }) => `${jobId} ${SubmissionOutcome.Complete}`),
  );
  t.true(summary.responseOverIdeal.p50 > 9.8);
  t.is(toObservedReplies(submissions)[0]?.jobId, `${first.team}/job-0`);
});

test('replies of dispatchers are classified by status and body', t => {
  const answer = {
    taskId: 'a',
    answer: { jobId: 'job', taskId: 'a', padding: '' },
  };
  const cases = [
    readReply(
      200,
      JSON.stringify({ jobId: 'job', outcome: 'complete', answers: [answer] }),
    ),
    readReply(
      502,
      JSON.stringify({
        outcome: 'failed',
        reason: 'broken',
        started: Started.Yes,
      }),
    ),
    readReply(
      503,
      JSON.stringify({ reason: 'overloaded', started: Started.No }),
    ),
    readReply(200, 'no JSON'),
  ];
  t.snapshot(
    cases.map(({ outcome, started, answers }) => ({
      outcome,
      started,
      answers,
    })),
  );
});

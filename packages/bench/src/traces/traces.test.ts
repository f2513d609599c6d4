import { readdir } from 'node:fs/promises';
import { join } from 'node:path';

import {
  DecisionKind,
  type DecisionRecord,
  Started,
} from '@cranberryturn/types';
import test from 'ava';

import { SubmissionOutcome } from '../load/job-client.js';
import { evaluateTrace } from './evaluate-trace.js';
import { replayTrace } from './replay-trace.js';
import { parseTrace, readTrace } from './trace-file.js';
import {
  type Expectation,
  ExpectationKind,
  type Trace,
} from './trace-format.js';
import { listTraceScripts } from './trace-scripts.js';

const folder = new URL('../../../../bench/traces', import.meta.url).pathname;

async function loadTrace(name: string): Promise<Trace> {
  return (await readTrace(join(folder, `${name}.jsonl`)))._unsafeUnwrap();
}

for (const { name, expectations } of listTraceScripts()) {
  test.serial(`trace ${name} ends as stated`, async t => {
    const trace = await loadTrace(name);
    t.log(`seed ${String(trace.header.seed)}`);
    t.deepEqual(
      trace.expectations,
      expectations,
      'the recorded expectations differ',
    );
    t.deepEqual((await replayTrace(trace)).unmet, []);
  });
}

test('each file of bench/traces has a script', async t => {
  const files = (await readdir(folder)).filter(name => name.endsWith('.jsonl'));
  const names = listTraceScripts().map(script => `${script.name}.jsonl`);
  t.deepEqual(files.sort(), names.sort());
});

test.serial('the evaluation finds each unmet expectation', async t => {
  const trace = await loadTrace('cancellation-wave');
  const unmetExpectations: readonly Expectation[] = [
    { kind: ExpectationKind.EveryJobEnds, graceMilliseconds: -8_000 },
    { kind: ExpectationKind.CompleteShare, from: 0, atLeast: 1 },
    {
      kind: ExpectationKind.JobEnds,
      jobId: trace.observed[0]?.jobId ?? '',
      outcomes: [SubmissionOutcome.Refused],
      started: [Started.No],
    },
    { kind: ExpectationKind.StartsOnWorker, worker: 0, from: 0, atMost: 0 },
    { kind: ExpectationKind.ResponseOverIdeal, percentile: 50, atMost: 0.99 },
  ];
  const { unmet } = await replayTrace({
    ...trace,
    expectations: unmetExpectations,
  });
  t.deepEqual(
    unmet.map(one => one.expectation),
    [...unmetExpectations],
  );
});

test('the evaluation finds a violated invariant in the decision records', t => {
  const started = (incarnation: string): DecisionRecord => ({
    at: 1,
    process: 'worker',
    kind: DecisionKind.Started,
    jobId: 'team/job',
    taskId: 'task',
    attempt: 1,
    epoch: 1,
    target: 'worker',
    incarnation,
    idempotent: false,
  });
  const system = {
    records: [started('run-1'), started('run-2')],
    startCounts: () => [],
    targetOf: () => 'worker',
    startedAt: 0,
  };
  const expectation = { kind: ExpectationKind.NoViolations } as const;
  const [unmet] = evaluateTrace([expectation], [], system);
  t.regex(unmet?.detail ?? '', /non-idempotent-repeat/);
});

test.serial('replays of a trace give identical results', async t => {
  const trace = await loadTrace('worker-dies');
  const [first, second] = [await replayTrace(trace), await replayTrace(trace)];
  const describe = ({ submissions }: typeof first): readonly unknown[] =>
    submissions.map(({ job, reply, responseMilliseconds }) => ({
      jobId: job.jobId,
      outcome: reply.outcome,
      responseMilliseconds,
    }));
  t.deepEqual(describe(first), describe(second));
});

test('the error for a corrupt trace names the line', t => {
  const error = parseTrace('{"kind":"header"}', 'one.jsonl')._unsafeUnwrapErr();
  t.regex(error.message, /one\.jsonl:1/);
});

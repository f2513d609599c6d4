import { createToken, digestToken } from '@cranberryturn/authentication';
import { createMetrics } from '@cranberryturn/metrics';
import { createManualTimerService } from '@cranberryturn/timers';
import {
  emptyConfiguration,
  JobOutcome,
  type JobRequest,
  Started,
} from '@cranberryturn/types';
import test from 'ava';

import type { JobService } from '../job-service.js';
import {
  refuseTemporarily,
  type SubmissionResult,
  SubmissionResultKind,
  SubmissionRefusal,
} from '../submission-result.js';
import { serveCallers } from './serve-callers.js';

const token = createToken();
const bodyBytes = 4_096;
const jobsPath = '/v1/services/register-svc/jobs';
const requestsPath = '/v1/services/register-svc/requests';

/** The submitted jobs, and the result that each submission gets. */
interface ServiceFixture {
  readonly submitted: JobRequest[];
  answer: SubmissionResult;
}

function composeCompleteResult(job: JobRequest): SubmissionResult {
  return {
    kind: SubmissionResultKind.Result,
    result: {
      jobId: job.jobId,
      outcome: JobOutcome.Complete,
      answers: job.tasks.map(one => ({
        taskId: one.taskId,
        answer: one.payload,
      })),
    },
  };
}

function composeFailedResult(
  started: Started,
  deadlinePassed: boolean,
): SubmissionResult {
  return {
    kind: SubmissionResultKind.Result,
    result: {
      jobId: 'wards/job-1',
      outcome: JobOutcome.Failed,
      reason: 'Task "a": the target answered with status 500.',
      started,
      deadlinePassed,
    },
  };
}

function createApplication(fixture: Partial<ServiceFixture> = {}) {
  const submitted: JobRequest[] = [];
  const accept = (job: JobRequest): Promise<SubmissionResult> => {
    submitted.push(job);
    return Promise.resolve(fixture.answer ?? composeCompleteResult(job));
  };
  const jobs = {
    submitJob: accept,
    runRequest: accept,
    find: () => undefined,
    cancelJob: () => Promise.resolve(undefined),
  } as unknown as JobService;
  const timers = createManualTimerService();
  const application = serveCallers({
    jobs,
    teams: [{ team: 'wards', tokenDigests: [digestToken(token)] }],
    metrics: createMetrics({ role: 'dispatcher', process: 'test', timers }),
    bodyBytes,
    configuration: () => emptyConfiguration,
    findElsewhere: () => Promise.resolve(undefined),
    isReady: () => false,
  });
  return { application, submitted };
}

async function post(
  body: unknown,
  options: {
    readonly answer?: SubmissionResult;
    readonly path?: string;
    readonly headers?: Record<string, string>;
  } = {},
) {
  const { application, submitted } = createApplication(
    options.answer === undefined ? {} : { answer: options.answer },
  );
  const response = await application.request(options.path ?? jobsPath, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}`, ...options.headers },
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
  return {
    status: response.status,
    retryAfter: response.headers.get('retry-after'),
    body: (await response.json()) as Record<string, unknown>,
    submitted: submitted.length,
  };
}

const job = { jobId: 'job-1', tasks: [{ taskId: 'a', payload: { x: 1 } }] };

test('invalid bodies are refused before anything starts', async t => {
  const tasks = Array.from({ length: 201 }, (_unused, position) => ({
    taskId: String(position),
    payload: 1,
  }));
  const bodies: Record<string, unknown> = {
    'not JSON': '{"jobId": ',
    'an array': [],
    'no tasks': { jobId: 'job-1', tasks: [] },
    'too many tasks': { jobId: 'job-1', tasks },
    'a duplicate taskId': {
      jobId: 'job-1',
      tasks: [...job.tasks, ...job.tasks],
    },
    'an unknown key': { ...job, priority: 1 },
    'an empty jobId': { ...job, jobId: '' },
    'a negative deadline': { ...job, deadlineMilliseconds: -1 },
    'the team of another token': { ...job, team: 'traders' },
    'a body over the limit': { ...job, padding: 'x'.repeat(bodyBytes) },
  };
  for (const [name, body] of Object.entries(bodies)) {
    const answer = await post(body);
    t.is(answer.submitted, 0, name);
    t.is(answer.body.started, 'no', name);
    t.snapshot(answer, name);
  }
});

test('a caller without a known token is refused', async t => {
  for (const authorization of ['', 'Bearer wrong', 'Basic abc']) {
    const answer = await post(job, { headers: { authorization } });
    t.is(answer.status, 401);
    t.is(answer.submitted, 0);
    t.is(answer.body.started, 'no');
  }
});

test('each submission result has its HTTP status', async t => {
  const answers: Record<string, SubmissionResult | undefined> = {
    complete: undefined,
    conflict: { kind: SubmissionResultKind.Conflict },
    'over quota': {
      kind: SubmissionResultKind.Refused,
      refusal: SubmissionRefusal.QuotaExceeded,
      reason: 'Team "wards" is over its quota.',
      retryAfterMilliseconds: 1_500,
    },
    impossible: {
      kind: SubmissionResultKind.Refused,
      refusal: SubmissionRefusal.Impossible,
      reason: 'No worker has 512 processors.',
      retryAfterMilliseconds: undefined,
    },
    overloaded: refuseTemporarily('The queue is full.', 200),
    'failed after a start': composeFailedResult(Started.Yes, false),
    'perhaps started': composeFailedResult(Started.Perhaps, false),
    'deadline passed after a start': composeFailedResult(Started.Perhaps, true),
    'failed before a start': composeFailedResult(Started.No, true),
  };
  for (const [name, answer] of Object.entries(answers)) {
    t.snapshot(await post(job, answer === undefined ? {} : { answer }), name);
  }
});

test('a request without an idempotency key is idempotent; a key identifies the job of a request', async t => {
  const body = { payload: { street: 'Hàng Bạc' } };
  const unkeyed = createApplication();
  const keyed = createApplication();
  const send = async (
    { application }: typeof unkeyed,
    headers: Record<string, string>,
  ) =>
    application.request(requestsPath, {
      method: 'POST',
      headers: { authorization: `Bearer ${token}`, ...headers },
      body: JSON.stringify(body),
    });
  await send(unkeyed, {});
  await send(keyed, { 'idempotency-key': 'seat-7' });
  t.true(unkeyed.submitted[0]?.idempotent);
  t.false(keyed.submitted[0]?.idempotent);
  t.is(keyed.submitted[0]?.jobId, 'wards/key:seat-7');
  t.is(keyed.submitted[0]?.tasks[0]?.payload, '{"street":"Hàng Bạc"}');
});

test('tasks of a job start at most once, even when the caller declares them idempotent', async t => {
  const { application, submitted } = createApplication();
  await application.request(jobsPath, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}` },
    body: JSON.stringify({ ...job, idempotent: true }),
  });
  t.false(submitted[0]?.idempotent);
});

test('unknown jobs and paths get 404, and health and metrics need no token', async t => {
  const { application } = createApplication();
  const headers = { authorization: `Bearer ${token}` };
  const unknown = await application.request(`${jobsPath}/none`, { headers });
  t.is(unknown.status, 404);
  const cancelled = await application.request(`${jobsPath}/none`, {
    method: 'DELETE',
    headers,
  });
  t.is(cancelled.status, 404);
  t.is((await application.request('/v2/none')).status, 404);
  t.is((await application.request('/healthz')).status, 200);
  t.is((await application.request('/readyz')).status, 503);
  const metrics = await application.request('/metrics');
  t.regex(await metrics.text(), /tokens_refused/);
});

test.serial(
  'a request whose handling fails after its body was read is answered as perhaps started',
  async t => {
    // The test runner ends the process for an error that nothing caught, so its listeners are set aside.
    const listeners = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    const errors: unknown[] = [];
    process.on('uncaughtException', error => errors.push(error));
    const answer = { kind: SubmissionResultKind.Result } as SubmissionResult;
    const { status, body, submitted } = await post(job, { answer });
    await new Promise(resolve => setImmediate(resolve));
    process.removeAllListeners('uncaughtException');
    for (const listener of listeners) process.on('uncaughtException', listener);
    t.is(submitted, 1);
    t.is(status, 502);
    t.is(body.started, Started.Perhaps);
    t.is(errors.length, 1);
  },
);

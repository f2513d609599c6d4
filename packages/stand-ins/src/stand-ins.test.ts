import { createSystemTimerService } from '@cranberryturn/timers';
import test from 'ava';
import { request } from 'undici';

import {
  PlatformAction,
  startStandInPlatform,
} from './start-stand-in-platform.js';
import {
  type StandInTarget,
  startStandInTarget,
} from './start-stand-in-target.js';
import {
  TargetFaultKind,
  TaskTreatment,
  selectTreatment,
} from './target-fault.js';

const timers = createSystemTimerService();

async function postTask(
  target: StandInTarget,
  taskId: string,
  payload: unknown,
): Promise<{ status: number; body: unknown }> {
  const reply = await request(`${target.url}/tasks`, {
    method: 'POST',
    headers: {
      'cranberry-job-id': 'job',
      'cranberry-task-id': taskId,
      'cranberry-attempt': '2',
    },
    body: JSON.stringify(payload),
  });
  return { status: reply.statusCode, body: await reply.body.json() };
}

async function startTarget(): Promise<StandInTarget> {
  return startStandInTarget({ targetId: 'worker', timers, seed: 1 });
}

test('a stand-in target echoes job and task and counts every start', async t => {
  const target = await startTarget();
  const payload = { runMilliseconds: 1, answerBytes: 3 };
  const first = await postTask(target, 'a', payload);
  await postTask(target, 'a', payload);
  const failed = await postTask(target, 'b', { ...payload, failure: 'broken' });
  const wrong = await postTask(target, 'c', { runMilliseconds: 'long' });
  t.snapshot({
    first,
    failed,
    wrong: wrong.status,
    starts: target.starts.list(),
  });
  await target.close();
});

test('a stand-in target behaves as its injected fault says', async t => {
  const target = await startTarget();
  target.setFault({ kind: TargetFaultKind.FailAll });
  t.is((await postTask(target, 'a', { runMilliseconds: 1 })).status, 500);
  target.setFault({ kind: TargetFaultKind.DropConnection });
  await t.throwsAsync(postTask(target, 'b', { runMilliseconds: 1 }));
  target.setFault({ kind: TargetFaultKind.Hang });
  const hanging = postTask(target, 'c', { runMilliseconds: 1 });
  while (target.running.count() === 0) await new Promise(setImmediate);
  t.true(target.running.stop('job', 'c'));
  t.is((await hanging).status, 503);
  t.is(target.starts.total(), 3);
  await target.close();
});

test('a flapping target alternates between running and failing tasks, and starts with running', t => {
  const fault = { kind: TargetFaultKind.Flap, periodMilliseconds: 10 } as const;
  const treatments = [0, 9, 10, 19, 20].map(at => selectTreatment(fault, at));
  const { Run, Fail } = TaskTreatment;
  t.deepEqual(treatments, [Run, Run, Fail, Fail, Run]);
});

test('the platform stops a task, and reports when it no longer runs', async t => {
  const target = await startTarget();
  const platform = await startStandInPlatform({
    timers,
    targets: [target],
    usageLagMilliseconds: 500,
    leaseMilliseconds: 5_000,
  });
  const post = async (path: string, body: unknown): Promise<unknown> => {
    const url = `${platform.url}/workers/worker/${path}`;
    const text = JSON.stringify(body);
    return (await request(url, { method: 'POST', body: text })).body.json();
  };
  const running = postTask(target, 'a', { runMilliseconds: 60_000 });
  while (target.running.count() === 0) await new Promise(setImmediate);
  const lease = await post('leases', { jobId: 'job', taskId: 'a' });
  const stopped = await post(`leases/lease-1/${PlatformAction.Stop}`, {});
  t.is((await running).status, 503);
  const again = await post(`leases/lease-1/${PlatformAction.Stop}`, {});
  t.snapshot({ lease, stopped, again, acts: platform.actions });
  await platform.close();
  await target.close();
});

test('a lease that is not renewed expires, and its task is stopped', async t => {
  const target = await startTarget();
  const platform = await startStandInPlatform({
    timers,
    targets: [target],
    usageLagMilliseconds: 500,
    leaseMilliseconds: 20,
  });
  const running = postTask(target, 'a', { runMilliseconds: 60_000 });
  while (target.running.count() === 0) await new Promise(setImmediate);
  await request(`${platform.url}/workers/worker/leases`, {
    method: 'POST',
    body: JSON.stringify({ jobId: 'job', taskId: 'a' }),
  });
  t.is((await running).status, 503);
  await platform.close();
  await target.close();
});

import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import {
  createSharedKey,
  createToken,
  digestToken,
  parseSharedKeys,
} from '@cranberryturn/authentication';
import { createSilentLogger } from '@cranberryturn/logger';
import { createSystemTimerService, sleep } from '@cranberryturn/timers';
import { emptyConfiguration, type NetworkAddress } from '@cranberryturn/types';
import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';

import { type LocalCluster, startLocalCluster } from './start-local-cluster.js';

const loopback: NetworkAddress = { address: '127.0.0.1', port: 0 };
const readyPollMilliseconds = 20;

interface RunningCluster {
  readonly cluster: LocalCluster;
  readonly token: string;
}

async function startCluster(t: ExecutionContext): Promise<RunningCluster> {
  const dataFolder = await mkdtemp(join(tmpdir(), 'cranberry-local-'));
  const token = createToken();
  const timers = createSystemTimerService();
  const started = await startLocalCluster({
    context: {
      address: loopback.address,
      keys: parseSharedKeys(createSharedKey(), 'test key')._unsafeUnwrap(),
      timers,
      logger: createSilentLogger(),
      decisionsOf: () => () => undefined,
    },
    dataFolder,
    controlReplicas: 1,
    dispatchers: [loopback, loopback],
    services: [
      {
        service: 'register-svc',
        racks: [{ rack: 'rack-1', dataCentre: 'dong-da', workers: 3 }],
        slots: 8,
        connections: 64,
        resources: {
          processors: 64,
          memoryMebibytes: 131_072,
          accelerators: 0,
        },
      },
    ],
    teams: [{ team: 'wards', tokenDigests: [digestToken(token)] }],
    seed: 1,
    initialConfiguration: emptyConfiguration,
  });
  const cluster = started._unsafeUnwrap();
  while (!isReady(cluster)) await sleep(timers, readyPollMilliseconds);
  t.teardown(async () => {
    await cluster.stop();
    await rm(dataFolder, { recursive: true, force: true });
  });
  return { cluster, token };
}

function isReady(cluster: LocalCluster): boolean {
  return cluster.dispatchers.every(
    ({ dispatcher }) =>
      dispatcher.isRegistered() &&
      dispatcher.scheduler.status().targets.length === cluster.workers.length,
  );
}

async function submit(
  { cluster, token }: RunningCluster,
  dispatcher: number,
  body: unknown,
) {
  const address = cluster.dispatchers[dispatcher]?.dispatcher.callersAddress;
  const response = await request(
    `http://${address?.address ?? ''}:${String(address?.port)}/v1/services/register-svc/jobs`,
    {
      method: 'POST',
      headers: { authorization: `Bearer ${token}` },
      body: JSON.stringify(body),
    },
  );
  return { status: response.statusCode, body: await response.body.json() };
}

test('a job of 20 tasks is answered whole, and each task starts once', async t => {
  const running = await startCluster(t);
  const tasks = Array.from({ length: 20 }, (_unused, position) => ({
    taskId: `task-${String(position)}`,
    payload: { runMilliseconds: 20, answerBytes: 10 },
  }));
  const job = { jobId: 'job-1', tasks, deadlineMilliseconds: 20_000 };
  const [first, second] = await Promise.all([
    submit(running, 0, job),
    submit(running, 1, job),
  ]);
  t.is(first.status, 200);
  t.deepEqual(first, second);
  const answered = (first.body as { answers: { taskId: string }[] }).answers;
  t.deepEqual(
    answered.map(one => one.taskId),
    tasks.map(one => one.taskId),
  );
  const starts = running.cluster.workers.flatMap(worker =>
    worker.target.starts.list(),
  );
  t.is(starts.length, 20);
  t.true(starts.every(one => one.starts === 1));
});

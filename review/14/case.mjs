/** Case: at the first start, two of the three seeds serve control and have no disk. The system never starts to serve. */
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { call, composeConfiguration, publish } from '../lib-3/calls.mjs';
import { createDeployment, createRecord, sleep } from '../lib-3/deployment.mjs';
import { startWorker } from '../lib-3/worker.mjs';

const isTroubled = process.env.TROUBLE !== '0';
/** Positions of the hosts that are named as seeds: 0 to 2 have a disk, 3 to 5 have none. */
const seedPositions = isTroubled ? [0, 3, 4] : [0, 1, 2];
/** Several times the 12 s from the start of the machines to that of the traffic. */
const startMilliseconds = 60_000;
const requests = 30;

const record = createRecord(dirname(fileURLToPath(import.meta.url)));
const queue = { name: 'lookup', host: 'nony24.example', prefix: '/lohu930/' };
// As the deploy file has it: control on two entry hosts of each of three zones, of which one has a disk.
const deployment = await createDeployment({
  hosts: 6,
  control: 6,
  disks: 3,
  seedPositions,
  sides: 1,
  zones: ['hoan-kiem', 'dong-da', 'cau-giay'],
});
const { control, dispatchers, sidecars, ports, seeds } = deployment;
let worker;
let starts = 0;

let exitCode = 2;
try {
  const [sidecar] = sidecars;
  worker = await startWorker({
    id: 'i-1',
    address: sidecar.ip,
    port: ports.worker,
    sidecar: { address: sidecar.ip, port: ports.controlPlane },
    observe: ({ kind, task, run, how }) => {
      if (kind === 'start') starts += 1;
      record(
        `worker i-1: ${task} run ${run} ${kind === 'start' ? 'starts' : `ends ${how}`}`,
      );
    },
  });
  record(
    `platform: seeds of all processes: ${seeds.join(', ')}; bootstrap=true`,
  );
  deployment.startAll();
  const first = await publish(
    control.map(({ ip }) => ip),
    ports.controlPlane,
    composeConfiguration(1, [queue]),
    { until: Date.now() + startMilliseconds },
  );
  record(
    `operator: version 1 on all six control hosts in turn: ${first.status} ${first.text.slice(0, 120)}`,
  );
  const running = control.filter(one => one.isRunning).length;
  if (running < control.length) throw new Error('a process has ended');
  await sleep(2_000);
  let served = 0;
  for (let number = 0; number < requests; number += 1) {
    const id = randomBytes(8).toString('hex');
    const dispatcher = dispatchers[number % dispatchers.length];
    const reply = await call({
      address: dispatcher.ip,
      port: ports.frontend,
      method: 'POST',
      path: `${queue.prefix}${id}`,
      headers: { host: queue.host, 'x-deadline-ms': '1500' },
      body: {
        best_effort: true,
        spec: '50',
        phases: [{ count: 2, cpu: 1_000, mem_mb: 64, estimated_ms: 50 }],
      },
      timeout: 1_600,
    });
    if (reply.status === 200) served += 1;
    record(
      `client: POST ${id} to ${dispatcher.name}: ${reply.status} ${reply.text.slice(0, 100)}`,
    );
  }
  for (const one of control) {
    const failure =
      /"message":"(The log cannot be founded[^"]*)|"error":"?([^"]*cannot be founded[^"]*)/.exec(
        readFileSync(one.logPath, 'utf8'),
      );
    if (failure !== null)
      record(
        `log of control on ${one.name}: ${(failure[1] ?? failure[2]).slice(0, 220)}`,
      );
  }
  record(
    `sum: ${served} of ${requests} requests served, ${starts} tasks started`,
  );
  record(served === 0 ? 'broken: no request is served' : 'held');
  exitCode = served === 0 ? 1 : 0;
} catch (error) {
  record(`could not run: ${error.message}`);
} finally {
  await deployment.stop();
  await worker?.stop();
}
process.exit(exitCode);

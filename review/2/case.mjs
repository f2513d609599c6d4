/** A heartbeat of another writer, with a service that isn't named, reaches the sidecar of a worker at work. */
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';

import { createJobId, submitUntilAnswered } from '../lib/client.mjs';
import { startDeployment } from '../lib/deployment.mjs';
import { call } from '../lib/http.mjs';
import { runCase } from '../lib/record.mjs';
import { createWatch, startStandInWorker } from '../lib/worker.mjs';

const jobs = 8;
const work = 2500;

await runCase(new URL('.', import.meta.url), async ({ record, hasTrouble }) => {
  const watch = createWatch(record);
  const deployment = await startDeployment({
    record,
    startWorker: options => startStandInWorker({ ...options, watch, record }),
  });
  try {
    const { fronts, workers, sides, ip, ports } = deployment;
    const answers = Array.from({ length: jobs }, (_, index) =>
      submitUntilAnswered(
        fronts,
        { jobId: createJobId(), work, deadline: 15_000 },
        record,
        {
          first: index,
        },
      ),
    );
    await sleep(1000);
    const busy = workers.findIndex(worker => worker.listTasks().length > 0);
    if (busy < 0) throw new Error('no worker is at work');
    if (hasTrouble) {
      const body = JSON.stringify({
        service: 'another-service',
        address: `${ip(sides[busy])}:${ports.app + 1}`,
        zone: 'hoan-kiem',
        version: 'v1',
        slots: 8,
        state: 'ready',
        cold_remaining_ms: 0,
        capacity: { cpu: 8000, mem_mb: 32_768, gpu: 0 },
        labels: ['a', 'r1-3'],
        clock_ms: 40,
        born: Date.now(),
        sequence: 1,
      });
      const reply = await call({
        host: ip(sides[busy]),
        port: ports.control,
        method: 'PUT',
        path: '/cranberryturn/instances/i-of-another-writer',
        body,
      });
      record.write(
        `another writer's heartbeat to the sidecar of ${workers[busy].name}`,
        {
          body,
          answered: reply.status,
        },
      );
    }
    const statuses = await Promise.all(answers);
    record.write('answers', statuses);
    // Whether the sound worker is used again.
    await sleep(4000);
    const before = watch.runs.length;
    await Promise.all(
      Array.from({ length: 24 }, (_, index) =>
        submitUntilAnswered(
          fronts,
          { jobId: createJobId(), work: 200, deadline: 5000 },
          record,
          {
            first: index,
          },
        ),
      ),
    );
    const used = watch.runs
      .slice(before)
      .filter(run => run.worker === workers[busy].name);
    record.write(`later starts on ${workers[busy].name}: ${used.length} of 24`);
    return watch.describeOverlaps();
  } finally {
    await deployment.stop();
  }
});

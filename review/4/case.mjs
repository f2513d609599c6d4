/** The departure of a worker is held up on its way, and arrives when the worker has started again under its id. */
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';

import { createJobId, submitUntilAnswered } from '../lib/client.mjs';
import { bounds, startDeployment } from '../lib/deployment.mjs';
import { call } from '../lib/http.mjs';
import { runCase } from '../lib/record.mjs';
import { createWatch, startStandInWorker } from '../lib/worker.mjs';

const sides = 6;
const jobs = 18;
const work = 2500;

await runCase(new URL('.', import.meta.url), async ({ record, hasTrouble }) => {
  const watch = createWatch(record);
  const deployment = await startDeployment({
    sides,
    record,
    startWorker: options => startStandInWorker({ ...options, watch, record }),
  });
  try {
    const { fronts, workers, ip, ports, sides: numbers } = deployment;
    const [worker] = workers;
    const leave = async () => {
      const reply = await call({
        host: ip(numbers[0]),
        port: ports.control,
        method: 'DELETE',
        path: `/cranberryturn/instances/${worker.name}`,
      });
      record.write(`DELETE of ${worker.name} answered ${reply.status}`);
    };
    await worker.drain();
    await sleep(bounds.drain_ms + 500);
    if (hasTrouble)
      record.write(`DELETE of ${worker.name} is sent, and held up on its way`);
    else await leave();
    await sleep(1000);
    worker.setReady();
    worker.beReborn();
    await sleep(2000);
    const answers = Array.from({ length: jobs }, (_, index) =>
      submitUntilAnswered(
        fronts,
        { jobId: createJobId(), work, deadline: 10_000 },
        record,
        {
          first: index,
        },
      ),
    );
    await sleep(500);
    if (hasTrouble) await leave();
    record.write('answers', await Promise.all(answers));
    await sleep(1000);
    return watch.describeOverlaps();
  } finally {
    await deployment.stop();
  }
});

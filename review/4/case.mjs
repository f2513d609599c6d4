/** A worker without work is cut off, crashes behind the cut and starts again under its id; a job comes after the cut. */
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';

import { createJobId, submitUntilAnswered } from '../lib/client.mjs';
import { startDeployment } from '../lib/deployment.mjs';
import { runCase } from '../lib/record.mjs';
import { createWatch, startStandInWorker } from '../lib/worker.mjs';

const sides = 6;
const jobs = 18;
const work = 1200;

await runCase(new URL('.', import.meta.url), async ({ record, hasTrouble }) => {
  const watch = createWatch(record);
  const deployment = await startDeployment({
    sides,
    record,
    startWorker: options => startStandInWorker({ ...options, watch, record }),
  });
  try {
    const { fronts, workers } = deployment;
    const [worker] = workers;
    const submitAll = () =>
      Promise.all(
        Array.from({ length: jobs }, (_, index) =>
          submitUntilAnswered(
            fronts,
            { jobId: createJobId(), work, deadline: 10_000 },
            record,
            {
              first: index,
            },
          ),
        ),
      );
    record.write('answers before', await submitAll());
    // Nothing is sent for some seconds.
    await sleep(6000);
    if (hasTrouble) await worker.cut();
    await sleep(1000);
    if (hasTrouble) worker.beReborn();
    await sleep(2000);
    if (hasTrouble) await worker.heal();
    await sleep(200);
    record.write('answers after', await submitAll());
    await sleep(1000);
    return watch.describeOverlaps();
  } finally {
    await deployment.stop();
  }
});

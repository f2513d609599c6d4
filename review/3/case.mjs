/** Workers leave stop orders unanswered and carry them out late, while clients resend jobs that were not answered in time. */
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';

import { createJobId, submit, submitUntilAnswered } from '../lib/client.mjs';
import { startDeployment } from '../lib/deployment.mjs';
import { runCase } from '../lib/record.mjs';
import { createWatch, startStandInWorker } from '../lib/worker.mjs';

/** Jobs that take longer than their clients wait. */
const longJobs = 2;
const work = 3600;
const deadline = 1500;
/** Orders are disturbed for this long, and carried out this much later, in milliseconds. */
const disturbed = 5500;
const late = 2200;
/** All orders of the last part of that time are answered. */
const lastAnswered = 2000;

await runCase(new URL('.', import.meta.url), async ({ record, hasTrouble }) => {
  const watch = createWatch(record);
  let disturbedUntil = 0;
  const counts = { orders: 0, unanswered: 0 };
  const disturb = path => {
    if (Date.now() >= disturbedUntil) return undefined;
    counts.orders += 1;
    // The stop orders of the first submissions, and none later.
    if (path !== '/cranberryturn/run-stop') return undefined;
    if (Date.now() >= disturbedUntil - lastAnswered) return undefined;
    counts.unanswered += 1;
    return late;
  };
  const deployment = await startDeployment({
    record,
    startWorker: options =>
      startStandInWorker({ ...options, watch, record, disturb }),
  });
  try {
    const { fronts } = deployment;
    if (hasTrouble) disturbedUntil = Date.now() + disturbed;
    const isOver = Date.now() + disturbed;
    const answers = Array.from({ length: longJobs }, (_, index) =>
      submitUntilAnswered(
        fronts,
        { jobId: createJobId(), work, deadline, estimate: 1000 },
        record,
        { first: index, tries: 2 },
      ),
    );
    // Usual traffic, which is answered meanwhile.
    const others = [];
    while (Date.now() < isOver) {
      const front = fronts[others.length % fronts.length];
      others.push(
        submit(front, { jobId: createJobId(), work: 80, deadline }, record),
      );
      await sleep(8);
    }
    record.write('answers to the long jobs', await Promise.all(answers));
    const statuses = await Promise.all(others);
    record.write(
      `other jobs: ${statuses.filter(status => status === 200).length} of ${statuses.length} completed`,
    );
    record.write('orders during the disturbance', {
      ...counts,
      share: counts.unanswered / Math.max(1, counts.orders),
    });
    await sleep(1000);
    return watch.describeOverlaps();
  } finally {
    await deployment.stop();
  }
});

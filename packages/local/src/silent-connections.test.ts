import { createSilentLogger } from '@cranberryturn/logger';
import { JobOutcome } from '@cranberryturn/types';
import test from 'ava';

import { composeJob, startMemoryCluster } from './fakes/memory-cluster.js';

const clusterSize = {
  dispatchers: 2,
  workers: 1,
  slots: 2,
  runMilliseconds: 20,
};

/** Creates a logger that records its warnings. */
function createRecordingLogger() {
  const logger = createSilentLogger();
  const warnings: string[] = [];
  logger.warn = (message: unknown) => {
    warnings.push(String(message));
    return logger;
  };
  return { logger, warnings };
}

test('both ends log that a silent connection is suspected', async t => {
  const { logger, warnings } = createRecordingLogger();
  const cluster = await startMemoryCluster({ ...clusterSize, logger });
  await cluster.timers.advance(30_000);
  t.deepEqual(warnings, []);
  for (const connection of cluster.network.connections) {
    connection.isSilent =
      connection.from === 'worker-1' && connection.to === 'dispatcher-1';
  }
  await cluster.timers.advance(10_000);
  t.true(warnings.includes('session suspected'));
  t.true(warnings.includes('target suspected'));
  await cluster.stop();
});

test('a task sent over an idle connection that went silent is delivered over a new one after three seconds', async t => {
  for (
    let offsetMilliseconds = 0;
    offsetMilliseconds < 5_000;
    offsetMilliseconds += 500
  ) {
    const cluster = await startMemoryCluster(clusterSize);
    await cluster.timers.advance(60_000 + offsetMilliseconds);
    for (const connection of cluster.network.connections) {
      connection.isSilent =
        connection.from === 'worker-1' && connection.to === 'dispatcher-1';
    }
    let outcome: JobOutcome | undefined;
    void cluster.dispatchers[0]?.dispatcher.jobs
      .submitJob(composeJob('job-1', 2, 20_000), 'request-1')
      .then(submission => {
        if ('result' in submission) outcome = submission.result.outcome;
      });
    await cluster.timers.advance(4_000);
    t.is(outcome, JobOutcome.Complete, `${String(offsetMilliseconds)} ms`);
    t.is(Math.max(...cluster.countStarts().values()), 1);
    await cluster.stop();
  }
});

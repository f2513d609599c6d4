import { SubmissionResultKind } from '@cranberryturn/dispatcher';
import {
  type Decision,
  DecisionKind,
  emptyConfiguration,
} from '@cranberryturn/types';
import test from 'ava';

import { composeJob, startMemoryCluster } from './fakes/memory-cluster.js';

const quota = 4;
const configuration = {
  ...emptyConfiguration,
  services: [
    {
      service: 'register-svc',
      queueLimit: 1_000,
      defaultDeadlineMilliseconds: 60_000,
      retryBudgetPercent: 10,
    },
  ],
  teams: [{ team: 'wards', weight: 1, concurrencyQuota: quota }],
};

/** Finds the largest number of attempts that ran at the same time. */
function findMaximumRunning(decisions: readonly Decision[]): number {
  let running = 0;
  let maximum = 0;
  for (const decision of decisions) {
    if (decision.kind === DecisionKind.Started) running += 1;
    if (decision.kind === DecisionKind.Ended) running -= 1;
    maximum = Math.max(maximum, running);
  }
  return maximum;
}

test('a quota holds across two dispatchers, and moves to the one that has the load', async t => {
  const cluster = await startMemoryCluster({
    dispatchers: 2,
    workers: 3,
    slots: 8,
    runMilliseconds: 100,
    configuration,
  });
  await cluster.timers.advance(20_000);
  const [first, second] = cluster.dispatchers;
  const submit = (owner: typeof first, jobId: string): void => {
    const job = composeJob(jobId, 4, 60_000);
    void owner?.dispatcher.jobs.submitJob(job, jobId);
  };
  for (let round = 0; round < 20; round += 1) {
    submit(first, `only-first-${String(round)}`);
    await cluster.timers.advance(200);
  }
  const maximumWithOneDispatcher = findMaximumRunning(cluster.decisions);
  for (let round = 0; round < 20; round += 1) {
    submit(first, `both-first-${String(round)}`);
    submit(second, `both-second-${String(round)}`);
    await cluster.timers.advance(100);
  }
  await cluster.timers.advance(20_000);
  t.is(maximumWithOneDispatcher, quota);
  t.is(findMaximumRunning(cluster.decisions), quota);
  await cluster.stop();
});

test('a quota is used within seconds of a start of the whole system, and a cut-off dispatcher stops using its share', async t => {
  const cluster = await startMemoryCluster({
    dispatchers: 2,
    workers: 3,
    slots: 8,
    runMilliseconds: 100,
    configuration,
  });
  await cluster.timers.advance(2_000);
  const submit = (position: number, jobId: string) => {
    const job = composeJob(jobId, 1, 60_000);
    const owner = cluster.dispatchers[position];
    if (owner === undefined) throw new Error('There is no such dispatcher.');
    return owner.dispatcher.jobs.submitJob(job, jobId);
  };
  const submitted = [0, 1].flatMap(position =>
    [1, 2, 3, 4].map(number =>
      submit(position, `start-${String(position)}-${String(number)}`),
    ),
  );
  await cluster.timers.advance(1_000);
  const outcomes = await Promise.all(submitted);
  t.deepEqual(
    outcomes.map(one => one.kind),
    outcomes.map(() => SubmissionResultKind.Result),
  );
  cluster.isolatedProcesses.add('dispatcher-1');
  for (const connection of cluster.network.connections) {
    if (connection.from === 'dispatcher-1') connection.isSilent = true;
  }
  const request = async (jobId: string) => {
    const job = { ...composeJob(jobId, 1, 2_000), idempotent: true };
    const [cutOff] = cluster.dispatchers;
    const answer = cutOff?.dispatcher.jobs.runRequest(job, jobId);
    await cluster.timers.advance(2_000);
    return (await answer)?.kind;
  };
  t.is(await request('soon'), SubmissionResultKind.Result);
  await cluster.timers.advance(6_000);
  t.is(await request('late'), SubmissionResultKind.Refused);
  t.true(findMaximumRunning(cluster.decisions) <= quota);
  await cluster.stop();
});

/** Counterpart of the busy dispatcher: fake sidecars and callers that submit jobs. */
import {
  createSystemTimerService,
  sleep,
  type TimerService,
} from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import { createHttpJobClient } from '../../load/create-http-job-client.js';
import { type JobClient, SubmissionOutcome } from '../../load/job-client.js';
import type { PlannedJob } from '../../load/plan-load.js';
import { measuredService } from '../parts/identities.js';
import {
  busyDispatcherSidecars,
  countJobs,
  countWarmUpJobs,
  measuredTeam,
  measuredToken,
  concurrentJobs,
} from '../parts/job-load.js';
import { startFakeSidecars } from '../parts/start-fake-sidecars.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

const pollMilliseconds: Milliseconds = 200;

/** Starts sidecars and callers that submit jobs of `size` tasks. The peers are the dispatcher for sidecars and the one for callers. */
export function startManyCallers({
  size,
  seed,
  peers,
}: ScenarioInput): Promise<ScenarioSide> {
  const [dispatcher, callers] = peers;
  if (dispatcher === undefined || callers === undefined) {
    throw new Error(
      'The dispatcher gave too few addresses; one for peers and one for callers are needed.',
    );
  }
  const timers = createSystemTimerService();
  startFakeSidecars(busyDispatcherSidecars, dispatcher, timers, seed);
  const client = createHttpJobClient({
    urls: [`http://${callers.address}:${String(callers.port)}`],
    getToken: () => measuredToken,
  });
  return Promise.resolve({
    addresses: [],
    ready: async () => {
      await waitForTargets(client, size, timers);
      await submitAll(client, 'warm-up', size, countWarmUpJobs(size));
    },
    work: async () => {
      const jobs = countJobs(size);
      await submitAll(client, 'measured', size, jobs);
      return jobs;
    },
    traffic: () => noTraffic,
  });
}

/** Submits jobs until one completes, which shows that targets have registered. */
async function waitForTargets(
  client: JobClient,
  tasks: number,
  timers: TimerService,
): Promise<void> {
  for (let number = 0; ; number += 1) {
    const job = composeJob(`first-${String(number)}`, tasks);
    const { outcome } = await client.submitJob(job);
    if (outcome === SubmissionOutcome.Complete) return;
    await sleep(timers, pollMilliseconds);
  }
}

async function submitAll(
  client: JobClient,
  name: string,
  tasks: number,
  jobs: number,
): Promise<void> {
  const submitEach = async (caller: number): Promise<void> => {
    for (let number = caller; number < jobs; number += concurrentJobs) {
      const job = composeJob(`${name}-${String(number)}`, tasks);
      const reply = await client.submitJob(job);
      if (reply.outcome === SubmissionOutcome.Complete) continue;
      throw new Error(`A job did not complete: ${reply.reason ?? 'no reason'}`);
    }
  };
  await Promise.all(
    Array.from({ length: concurrentJobs }, (_, caller) => submitEach(caller)),
  );
}

function composeJob(jobId: string, tasks: number): PlannedJob {
  return {
    at: 0,
    jobId,
    request: 'measured',
    service: measuredService,
    team: measuredTeam,
    idempotent: true,
    deadlineMilliseconds: 30_000,
    tasks: Array.from({ length: tasks }, (_, task) => ({
      taskId: `task-${String(task)}`,
      runMilliseconds: 1,
      answerBytes: 0,
    })),
  };
}

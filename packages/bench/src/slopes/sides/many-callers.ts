/** Sidecars and callers that keep a dispatcher busy. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { createHttpJobClient } from '../../load/create-http-job-client.js';
import { type JobClient, SubmissionOutcome } from '../../load/job-client.js';
import type { PlannedJob } from '../../load/plan-load.js';
import { measuredService } from '../parts/identities.js';
import {
  busySidecars,
  countJobs,
  measuredTeam,
  measuredToken,
  openJobs,
} from '../parts/job-load.js';
import { startFakeSidecars } from '../parts/start-fake-sidecars.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

/** Starts sidecars, and callers that submit jobs of `size` tasks. */
export function startManyCallers({
  size,
  seed,
  peers,
}: ScenarioInput): Promise<ScenarioSide> {
  const [dispatcher, callers] = peers;
  if (dispatcher === undefined || callers === undefined) {
    throw new Error('No dispatcher to dial.');
  }
  startFakeSidecars(busySidecars, dispatcher, createSystemTimerService(), seed);
  const client = createHttpJobClient({
    urls: [`http://${callers.address}:${String(callers.port)}`],
    tokenOf: () => measuredToken,
  });
  return Promise.resolve({
    addresses: [],
    ready: () => Promise.resolve(),
    work: async () => {
      const jobs = countJobs(size);
      await Promise.all(
        Array.from({ length: openJobs }, (_, caller) =>
          submitEach(client, size, caller, jobs),
        ),
      );
      return jobs;
    },
    traffic: () => noTraffic,
  });
}

async function submitEach(
  client: JobClient,
  tasks: number,
  caller: number,
  jobs: number,
): Promise<void> {
  for (let number = caller; number < jobs; number += openJobs) {
    const reply = await client.submitJob(composeJob(number, tasks));
    if (reply.outcome !== SubmissionOutcome.Complete) {
      throw new Error(`A job was not answered: ${reply.reason ?? 'no reason'}`);
    }
  }
}

function composeJob(number: number, tasks: number): PlannedJob {
  return {
    at: 0,
    jobId: `job-${String(number)}`,
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

import {
  createManualTimerService,
  createSystemTimerService,
} from '@cranberryturn/timers';
import test, { type ExecutionContext } from 'ava';
import { request } from 'undici';

import {
  findLeader,
  type ProcessSystem,
  type ProcessSystemOptions,
  startProcessSystem,
  getUrl,
  waitUntil,
} from './start-process-system.js';
import {
  listBrokenReplies,
  listFailedJobs,
  startSteadyLoad,
} from './steady-load.js';
import {
  composeJob,
  countStarts,
  findDoubleStarts,
  isCompleteReply,
  submitJob,
} from './submit-job.js';

const seed = 20_261_203;
const runMilliseconds = 1_000;
const jobsBetweenSteps = 40;

async function start(
  t: ExecutionContext,
  options: Partial<ProcessSystemOptions> = {},
): Promise<ProcessSystem> {
  t.log(`seed ${String(seed)}`);
  const system = await startProcessSystem({
    seed,
    controls: 3,
    dispatchers: 2,
    workers: 3,
    targetTimers: createSystemTimerService(),
    ...options,
  });
  t.teardown(() => system.kill());
  return system;
}

async function readStatus(url: string): Promise<number> {
  try {
    const response = await request(url);
    await response.body.dump();
    return response.statusCode;
  } catch {
    return 0;
  }
}

test.serial(
  'planned stops under load cut off nothing and start nothing twice',
  async t => {
    const system = await start(t);
    const [leaving, staying] = system.dispatchers;
    const [sidecar] = system.sidecars;
    if (!leaving || !staying || !sidecar)
      throw new Error('the system has too few processes');
    let chosen = [leaving, staying];
    const load = startSteadyLoad(system, () => chosen);
    await load.waitForMore(jobsBetweenSteps);

    sidecar.signal('SIGTERM');
    t.is(await sidecar.exited, 0, sidecar.output());
    await load.waitForMore(jobsBetweenSteps);

    leaving.signal('SIGTERM');
    chosen = [staying];
    t.is(await leaving.exited, 0, leaving.output());
    await load.waitForMore(jobsBetweenSteps);

    const leader = await findLeader(system.controls);
    leader.signal('SIGTERM');
    t.is(await leader.exited, 0, leader.output());
    await load.waitForMore(jobsBetweenSteps);
    await load.stop();

    t.log(`${String(load.finished.length)} jobs`);
    t.deepEqual(listFailedJobs(load.finished), []);
    t.deepEqual(listBrokenReplies(load.finished), []);
    t.deepEqual(findDoubleStarts(system), []);
    t.is(countStarts(system), load.finished.length * 4);
  },
);

test.serial(
  'a planned stop first fails /readyz and then waits for running jobs; a second signal exits immediately',
  async t => {
    const targetTimers = createManualTimerService();
    const system = await start(t, { controls: 1, workers: 1, targetTimers });
    const [first, second] = system.dispatchers;
    const [sidecar] = system.sidecars;
    const [control] = system.controls;
    if (!first || !second || !sidecar || !control)
      throw new Error('the system has too few processes');
    const job = composeJob('job-1', 3, runMilliseconds);
    const cutOff = submitJob(system, first, job);
    await waitUntil(() => countStarts(system) === 3);
    first.signal('SIGTERM');
    await waitUntil(
      async () =>
        (await readStatus(`${getUrl(first, 'callers')}/readyz`)) === 503,
    );
    t.is(await readStatus(`${getUrl(first, 'callers')}/healthz`), 200);
    first.signal('SIGTERM');
    t.is(await first.exited, 1);
    t.is((await cutOff).status, 0);

    const joined = submitJob(system, second, job);
    const other = composeJob('job-2', 3, runMilliseconds);
    const answered = submitJob(system, second, other);
    await waitUntil(() => countStarts(system) === 6);
    second.signal('SIGTERM');
    sidecar.signal('SIGTERM');
    await waitUntil(
      async () =>
        (await readStatus(`${getUrl(second, 'callers')}/readyz`)) === 503,
    );
    await waitUntil(
      async () =>
        (await readStatus(`${getUrl(sidecar, 'operations')}/readyz`)) === 503,
    );
    const late = await submitJob(system, second, composeJob('job-3', 1, 1));
    t.is(late.status, 503);
    t.true(late.text.includes('"started":"no"'));
    await targetTimers.advance(runMilliseconds);

    t.true(isCompleteReply(job, await joined), (await joined).text);
    t.true(isCompleteReply(other, await answered), (await answered).text);
    t.is(await second.exited, 0, second.output());
    t.is(await sidecar.exited, 0, sidecar.output());
    control.signal('SIGTERM');
    t.is(await control.exited, 0, control.output());
    t.is(countStarts(system), 6);
    t.deepEqual(findDoubleStarts(system), []);
  },
);

import { createSystemTimerService } from '@cranberryturn/timers';
import { Started } from '@cranberryturn/types';
import test, { type ExecutionContext } from 'ava';

import {
  findLeader,
  type ProcessSystem,
  startProcessSystem,
  waitUntil,
} from './start-process-system.js';
import { type LoadedJob, startSteadyLoad } from './steady-load.js';
import {
  composeJob,
  countStarts,
  findDoubleStarts,
  isCompleteReply,
  parseStarted,
  type SentJob,
  type SentReply,
  submitJob,
} from './submit-job.js';

const seed = 20_261_203;
const jobsBetweenSteps = 40;
const jobsInFlight = 10;

async function start(t: ExecutionContext): Promise<ProcessSystem> {
  t.log(`seed ${String(seed)}`);
  const system = await startProcessSystem({
    seed,
    controls: 3,
    dispatchers: 2,
    workers: 3,
    targetTimers: createSystemTimerService(),
  });
  t.teardown(() => system.kill());
  return system;
}

function countStartsWithPrefix(
  { targets }: ProcessSystem,
  prefix: string,
): number {
  const counts = targets.flatMap(target => target.starts.list());
  return counts.filter(one => one.jobId.includes(prefix)).length;
}

/** A final reply is complete, or says that the job was or may have been started. */
function isConsistentReply(job: SentJob, reply: SentReply): boolean {
  const started = parseStarted(reply);
  if (started === Started.Perhaps || started === Started.Yes) return true;
  return isCompleteReply(job, reply);
}

function assertConsistentReplies(
  t: ExecutionContext,
  system: ProcessSystem,
  jobs: readonly LoadedJob[],
): void {
  const complete = jobs.filter(({ job, replies }) =>
    replies.some(reply => isCompleteReply(job, reply)),
  );
  const inconsistent = jobs.filter(({ job, replies }) => {
    const last = replies.at(-1);
    return last === undefined || !isConsistentReply(job, last);
  });
  t.log(
    `${String(jobs.length)} jobs, ${String(complete.length)} complete, ${String(jobs.length - complete.length)} failed after a possible start`,
  );
  t.deepEqual(inconsistent, []);
  t.deepEqual(findDoubleStarts(system), []);
}

test.serial(
  'a dispatcher is killed under load, and everything is submitted again to another',
  async t => {
    const system = await start(t);
    const [killed, other] = system.dispatchers;
    if (!killed || !other)
      throw new Error('the system has too few dispatchers');
    let chosen = [killed, other];
    const load = startSteadyLoad(system, () => chosen);
    await load.waitForMore(jobsBetweenSteps);
    killed.signal('SIGKILL');
    chosen = [other];
    await load.waitForMore(jobsBetweenSteps);
    await load.stop();
    const resubmitted = await Promise.all(
      load.finished.map(async ({ job, replies }) => ({
        job,
        replies: [...replies, await submitJob(system, other, job)],
      })),
    );
    assertConsistentReplies(t, system, resubmitted);
    const changed = resubmitted.filter(({ job, replies }) => {
      const [before, after] = replies.slice(-2);
      if (!before || !after || !isCompleteReply(job, before)) return false;
      return isCompleteReply(job, after) && before.text !== after.text;
    });
    t.deepEqual(changed, []);
  },
);

test.serial(
  'the leading control host is frozen under load, and comes back',
  async t => {
    const system = await start(t);
    const load = startSteadyLoad(system, () => system.dispatchers);
    await load.waitForMore(jobsBetweenSteps);
    const frozen = await findLeader(system.controls);
    const others = system.controls.filter(one => one !== frozen);
    frozen.signal('SIGSTOP');
    await findLeader(others);
    await load.waitForMore(jobsBetweenSteps);
    frozen.signal('SIGCONT');
    await load.waitForMore(jobsBetweenSteps);
    await load.stop();
    assertConsistentReplies(t, system, load.finished);
    t.is(countStarts(system), load.finished.length * 4);
  },
);

test.serial(
  'a dispatcher is frozen with jobs in flight, which others submit elsewhere, and comes back',
  async t => {
    const system = await start(t);
    const [frozen, other] = system.dispatchers;
    if (!frozen || !other)
      throw new Error('the system has too few dispatchers');
    const jobs = Array.from({ length: jobsInFlight }, (_, index) =>
      composeJob(`frozen-${String(index)}`, 4, 1_000),
    );
    const first = jobs.map(job => submitJob(system, frozen, job));
    const load = startSteadyLoad(system, () => [other]);
    await waitUntil(
      () => countStartsWithPrefix(system, 'frozen-') >= jobsInFlight,
    );
    frozen.signal('SIGSTOP');
    const second = await Promise.all(
      jobs.map(job => submitJob(system, other, job)),
    );
    await load.waitForMore(jobsBetweenSteps);
    frozen.signal('SIGCONT');
    const late = await Promise.all(first);
    await load.stop();
    assertConsistentReplies(t, system, load.finished);
    const replies = jobs.flatMap((job, index) =>
      [late[index], second[index]].map(reply => ({ job, reply })),
    );
    const inconsistent = replies.filter(
      ({ job, reply }) => reply === undefined || !isConsistentReply(job, reply),
    );
    t.deepEqual(inconsistent, []);
    t.deepEqual(findDoubleStarts(system), []);
  },
);

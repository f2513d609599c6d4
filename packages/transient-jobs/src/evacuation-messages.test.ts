/** The messages of a dispatcher to a sidecar, with and without evacuations. */
import { createSilentLogger } from '@cranberryturn/logger';
import { createRandomSource } from '@cranberryturn/random';
import { openSession } from '@cranberryturn/sessions';
import type { Milliseconds, WorkerLoad } from '@cranberryturn/types';
import {
  type FromWorkerMessage,
  FromWorkerKind,
  ProcessRole,
  type ToWorkerMessage,
  ToWorkerKind,
} from '@cranberryturn/wire';
import test from 'ava';

import { createActiveJob, TaskPhase } from './active-job.js';
import { noRestriction } from './crashes/crash-containment.js';
import { address, firstPort, times } from './fakes/fake-host.js';
import { first } from './fakes/get-item.js';
import {
  createJob,
  createQueue,
  type JobsFixture,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { createKnownWorker, setEvacuated } from './known-worker.js';
import { recallWaitingTasks } from './recall-waiting-tasks.js';
import { RunTracker } from './run-tracker.js';

const processors = 16;
const load: WorkerLoad = {
  free: { processors, memoryMebibytes: 65_536, accelerators: 0 },
  waitingWork: [],
  runningWork: 0,
  closed: false,
};

function start(dataCentres: readonly string[] | undefined) {
  return startJobsFixture({
    dispatchers: 1,
    workers: 1,
    processors,
    dataCentres,
  });
}

/** Connects a sidecar that the test controls. Returns the messages that the dispatcher sends to it. */
function connectSidecar(
  { timers, network, hosts }: JobsFixture,
  dataCentre: string,
): ToWorkerMessage[] {
  const messages: ToWorkerMessage[] = [];
  const worker = { ...first(hosts).worker.run, workerId: 'x', dataCentre };
  const identity = { role: ProcessRole.Sidecar, name: 'x', incarnation: 'x' };
  openSession<FromWorkerMessage, ToWorkerMessage>({
    network: network.join(identity),
    address: { address, port: firstPort },
    timers,
    times,
    random: createRandomSource(1),
    startSession: (_peer, send) => ({
      messageReceived: message => messages.push(message),
      hasWork: () => false,
      connected: () => {
        const header = { stamp: timers.now(), load, orders: 0 };
        send({ kind: FromWorkerKind.Announce, worker, ...header });
      },
      suspected: () => undefined,
      ended: () => undefined,
    }),
  });
  return messages;
}

/** Submits a job some tasks of which wait for a worker once the only data centre is evacuated. */
async function submitWaitingTasks(fixture: JobsFixture): Promise<void> {
  const queue = createQueue({ targetLatencyMilliseconds: 3_000 });
  const job = createJob('job', processors + 4, { queue });
  first(fixture.dispatchers).jobs.submit(job);
  await fixture.timers.advance(20);
  fixture.evacuate(['north']);
  await fixture.timers.advance(20);
}

function listKinds(messages: readonly ToWorkerMessage[]) {
  return messages.map(({ kind }) => kind);
}

test('a sidecar is sent the state before the first order, also where tasks wait for its worker', async t => {
  const fixture = await start(['north']);
  await submitWaitingTasks(fixture);
  const messages = connectSidecar(fixture, 'south');
  await fixture.timers.advance(20);
  t.deepEqual(listKinds(messages), [
    ToWorkerKind.Evacuations,
    ToWorkerKind.PlaceRuns,
  ]);
});

test('a worker announced in an evacuated data centre gets no order while its sidecar does not know it yet', async t => {
  const fixture = await start(['north']);
  await submitWaitingTasks(fixture);
  const messages = connectSidecar(fixture, 'north');
  await fixture.timers.advance(1_000);
  t.false(listKinds(messages).includes(ToWorkerKind.PlaceRuns));
});

test('a sidecar that does not confirm the state is sent it again, and ever more rarely', async t => {
  const fixture = await start(['north']);
  const sentAt: Milliseconds[] = [];
  const messages = connectSidecar(fixture, 'south');
  await fixture.timers.advance(100);
  messages.length = 0;
  fixture.evacuate(['north']);
  for (let waited = 0; waited < 12_000; waited += 100) {
    await fixture.timers.advance(100);
    const notices = messages.splice(0).filter(isNotice);
    sentAt.push(...notices.map(() => waited));
  }
  const gaps = sentAt.slice(1).map((at, index) => at - (sentAt[index] ?? 0));
  t.deepEqual(gaps, [500, 1_000, 2_000, 4_000, 4_000]);
  t.is(
    first(fixture.dispatchers).jobs.workers.evacuations.countUnconfirmed(),
    1,
  );
});

function isNotice({ kind }: ToWorkerMessage): boolean {
  return kind === ToWorkerKind.Evacuations;
}

test('a sidecar that waits for a proved state is told as soon as control proves the state that it has', async t => {
  const fixture = await start(['north']);
  const { control } = first(fixture.dispatchers);
  control.isProved = false;
  const messages = connectSidecar(fixture, 'south');
  await fixture.timers.advance(300);
  control.isProved = true;
  await fixture.timers.advance(150);
  t.deepEqual(
    messages.map(one => one.kind === ToWorkerKind.Evacuations && one.isProved),
    [false, true],
  );
});

test('without the option a dispatcher sends the messages of earlier versions', async t => {
  const fixture = await start(undefined);
  const messages = connectSidecar(fixture, 'dong-da');
  await fixture.timers.advance(100);
  first(fixture.dispatchers).jobs.submit(createJob('job', processors + 4));
  fixture.evacuate(['dong-da']);
  await fixture.timers.advance(10_000);
  const kinds = new Set(listKinds(messages));
  t.deepEqual([...kinds].toSorted(), [
    ToWorkerKind.Heartbeat,
    ToWorkerKind.PlaceRuns,
  ]);
});

test('a waiting task is not asked back from an evacuated worker, which returns it by itself', async t => {
  const { timers, hosts } = await start(['north']);
  const { run } = first(hosts).worker;
  const free = createKnownWorker({ ...run, workerId: 'free' }, load, 0);
  const waitingWork = [0, 1_000, 0, 0];
  const sessionNumber = 7;
  const full = createKnownWorker(run, { ...load, waitingWork }, 0);
  const task = first(createActiveJob(createJob('job', 1), 0, 500, 0).tasks);
  Object.assign(task, {
    phase: TaskPhase.Placed,
    workerId: run.workerId,
    sessionNumber,
    isWaiting: true,
  });
  const runs = new RunTracker();
  runs.addRun(sessionNumber, task);
  const recalled: number[] = [];
  const recall = () => {
    recallWaitingTasks(free, {
      timers,
      logger: createSilentLogger(),
      runs,
      workers: {
        returnRuns: session => recalled.push(session),
        findWorker: () => full,
      },
      containment: { restrictHosts: () => noRestriction },
    });
  };
  setEvacuated(full, true, 0);
  recall();
  t.deepEqual(recalled, []);
  setEvacuated(full, false, 0);
  recall();
  t.deepEqual(recalled, [sessionNumber]);
});

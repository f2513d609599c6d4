/** The messages of a dispatcher to a sidecar, with and without evacuations. */
import { createRandomSource } from '@cranberryturn/random';
import { openSession } from '@cranberryturn/sessions';
import {
  type FromWorkerMessage,
  FromWorkerKind,
  ProcessRole,
  type ToWorkerMessage,
  ToWorkerKind,
} from '@cranberryturn/wire';
import test from 'ava';

import { address, firstPort, times } from './fakes/fake-host.js';
import { first } from './fakes/get-item.js';
import {
  createJob,
  type JobsFixture,
  startJobsFixture,
} from './fakes/jobs-fixture.js';

/** Connects a sidecar that the test controls, and lists the messages that the dispatcher sends to it. */
async function collectMessages(
  fixture: JobsFixture,
): Promise<readonly ToWorkerMessage[]> {
  const { timers, network, hosts } = fixture;
  const messages: ToWorkerMessage[] = [];
  const load = {
    free: { processors: 4, memoryMebibytes: 4_096, accelerators: 0 },
    waitingWork: [],
    runningWork: 0,
    closed: false,
  };
  const worker = { ...first(hosts).worker.run, workerId: 'worker-x' };
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
  await timers.advance(100);
  first(fixture.dispatchers).jobs.submit(createJob('job', 20));
  fixture.evacuate(['elsewhere']);
  await timers.advance(10_000);
  return messages;
}

test('a sidecar is sent the state before any order, and rarely again while it does not confirm it', async t => {
  const messages = await collectMessages(
    await startJobsFixture({
      dispatchers: 1,
      workers: 1,
      processors: 16,
      dataCentres: ['north'],
    }),
  );
  t.is(messages[0]?.kind, ToWorkerKind.Evacuations);
  const notices = messages.filter(one => one.kind === ToWorkerKind.Evacuations);
  // One of the first state, one of the change, and repeats after 0.5, 1.5, 3.5 and 7.5 s.
  t.is(notices.length, 6);
  t.true(messages.some(one => one.kind === ToWorkerKind.PlaceRuns));
});

test('without the option a dispatcher sends the messages of earlier versions', async t => {
  const messages = await collectMessages(
    await startJobsFixture({ dispatchers: 1, workers: 1, processors: 16 }),
  );
  const kinds = new Set(messages.map(({ kind }) => kind));
  t.deepEqual([...kinds].toSorted(), [
    ToWorkerKind.Heartbeat,
    ToWorkerKind.PlaceRuns,
  ]);
});

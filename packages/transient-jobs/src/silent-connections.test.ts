/**
 * Connections that go silent for good, in one direction or in both, while new ones work. A dispatcher that no longer hears a
 * sidecar must not place its runs again while the sidecar, which may still hear the dispatcher, keeps them active.
 */
import { createRandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';
import test from 'ava';

import { FakeCallers } from './fakes/fake-callers.js';
import { getItem } from './fakes/get-item.js';
import {
  createJob,
  type JobsFixture,
  startJobsFixture,
} from './fakes/jobs-fixture.js';

const runMilliseconds: Milliseconds = 3_000;

/** Silences the open connections that `choose` names the direction of. */
function silence(
  { network }: JobsFixture,
  choose: (ends: {
    readonly from: string;
    readonly to: string;
  }) => string | undefined,
): void {
  for (const connection of network.connections)
    connection.silentTowards ??= choose(connection);
}

test('a run goes on alone while the dispatcher does not hear its sidecar, which hears the dispatcher', async t => {
  for (const direction of ['from', 'to'] as const) {
    for (let before = 20; before <= 520; before += 50) {
      const fixture = await startJobsFixture({
        dispatchers: 1,
        workers: 2,
        processors: 1,
      });
      const { timers, hosts, dispatchers, violations } = fixture;
      for (const { worker } of hosts) worker.runMilliseconds = runMilliseconds;
      getItem(dispatchers, 0).jobs.submit(createJob('job', 1));
      await timers.advance(before);
      silence(fixture, ends => ends[direction]);
      await timers.advance(4_000);
      t.deepEqual(violations, [], `${direction}, ${String(before)} ms`);
    }
  }
});

test('no task runs twice when most connections go silent again and again, and callers come back to other dispatchers', async t => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const random = createRandomSource(seed);
    const fixture = await startJobsFixture({
      dispatchers: 3,
      workers: 4,
      processors: 2,
    });
    const { timers, hosts, dispatchers, violations } = fixture;
    const jobs = Array.from({ length: 6 }, (_, position) =>
      createJob(`job-${String(position)}`, 2),
    );
    const callers = new FakeCallers(fixture, jobs);
    const drawDispatcher = () =>
      getItem(dispatchers, random.below(dispatchers.length));
    for (let step = 0; step < 60; step += 1) {
      for (const { worker } of hosts)
        worker.runMilliseconds = 200 + random.below(runMilliseconds);
      const position = random.below(jobs.length);
      const draw = random.below(12);
      if (draw < 6) callers.submit(position, drawDispatcher());
      else if (draw < 8)
        callers.breakConnection(position, random.below(130), drawDispatcher());
      else if (draw === 8)
        silence(fixture, ({ from, to }) => {
          const direction = random.below(5);
          if (direction < 2) return from;
          return direction < 4 ? to : undefined;
        });
      await timers.advance(10 + random.below(400));
    }
    t.deepEqual(violations, [], `seed ${String(seed)}`);
  }
});

/**
 * Plays loads in which tasks crash their workers, with other seeds: `node measure-crash-load.js SEEDS [FIRST
 * [after-stop]]`. Prints a line for each and ends with status 1 if one has violated an invariant. With `after-stop`
 * workers also crash if the deadly run was stopped shortly before.
 */
import { createRandomSource } from '@cranberryturn/random';

import { playCrashLoad } from '../fakes/crash-load.js';
import { getItem } from '../fakes/get-item.js';
import { startJobsFixture } from '../fakes/jobs-fixture.js';

const allowedStarts = 6;
const queueSets = [
  ['lookups'],
  ['statuses'],
  ['summaries'],
  ['lookups', 'statuses'],
] as const;
const shares = [0.05, 0.1, 0.2, 0.3] as const;
const restartAtMilliseconds = 7_000;

/** Plays one load and returns what is wrong with it. */
async function playSeed(seed: number): Promise<readonly string[]> {
  const random = createRandomSource(seed);
  const choose = <Item>(items: readonly Item[]): Item =>
    getItem(items, Math.floor(random.fraction() * items.length));
  const fixture = await startJobsFixture({
    dispatchers: choose([2, 4, 8]),
    workers: choose([8, 11, 16]),
    processors: 8,
  });
  const { timers, dispatchers, violations } = fixture;
  const deadlyQueues = choose(queueSets);
  const deadlyShare = choose(shares);
  const isRestarted = random.fraction() < 0.5;
  if (isRestarted)
    timers.after(restartAtMilliseconds, () => {
      void choose(dispatchers).restart();
    });
  const { crashes, queues } = await playCrashLoad(fixture, {
    deadlyQueues,
    deadlyShare,
    crashMilliseconds: 8_000,
    deadlyTask: 1,
    crashesAfterStop: process.argv[4] === 'after-stop',
    seed: `${String(seed)}/`,
  });
  const starts = new Map<string, number>();
  for (const start of crashes.starts) {
    const task = start.split('@')[0] ?? '';
    starts.set(task, (starts.get(task) ?? 0) + 1);
  }
  const mostStarts = Math.max(0, ...starts.values());
  const inTime = Object.entries(queues).map(
    ([queue, { jobs, completedInTime }]) =>
      `${queue} ${(completedInTime / Math.max(1, jobs)).toFixed(2)}`,
  );
  const failed = Object.values(queues).reduce(
    (sum, one) => sum + one.failed,
    0,
  );
  console.log(
    `seed ${String(seed)}: ${deadlyQueues.join('+')} ${String(deadlyShare)} dispatchers ${String(dispatchers.length)} workers ${String(fixture.hosts.length)} restart ${String(isRestarted)} | in time ${inTime.join(', ')} | sound jobs failed ${String(failed)}, crashes ${String(crashes.crashes.length)}, most starts of a task ${String(mostStarts)}, most workers down ${String(crashes.mostDown)}`,
  );
  return [
    ...violations,
    ...(failed > 0 ? ['sound jobs were given up'] : []),
    ...(mostStarts > allowedStarts ? ['a task was started too often'] : []),
  ];
}

const seeds = Number(process.argv[2] ?? '10');
const firstSeed = Number(process.argv[3] ?? '1');
for (let seed = firstSeed; seed < firstSeed + seeds; seed += 1) {
  for (const violation of await playSeed(seed)) {
    console.error(`seed ${String(seed)}: ${violation}`);
    process.exitCode = 1;
  }
}

import { localSettingsSchema } from '@cranberryturn/settings';
import { createSystemTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { startLocalSystem } from './start-local-system.js';
import { createSystemClient } from './system-client.js';

test('a job sent to two dispatchers at once is answered completely by both, and each task starts once', async t => {
  const settings = localSettingsSchema.parse({
    seed: 1,
    services: [
      {
        service: 'register-svc',
        racks: [{ rack: 'rack-1', dataCentre: 'dong-da', workers: 3 }],
        resources: { processors: 64, memoryMebibytes: 131_072 },
        runTime: { minimumMilliseconds: 20, maximumMilliseconds: 20 },
      },
    ],
    log: { level: 'error' },
  });
  t.log(`seed ${String(settings.seed)}`);
  const timers = createSystemTimerService();
  const system = (await startLocalSystem(settings, timers))._unsafeUnwrap();
  t.teardown(() => system.stop());
  const client = createSystemClient(system);
  const taskIds = Array.from(
    { length: 20 },
    (_, position) => `task-${String(position)}`,
  );
  const job = { jobId: 'job-1', service: 'register-svc', taskIds };
  const [first, second] = await Promise.all(
    system.dispatchers.map(dispatcher => client.submitJob(dispatcher, job)),
  );
  t.is(first?.status, 200);
  t.deepEqual(first, second);
  t.deepEqual(
    first?.answers?.map(one => one.taskId),
    taskIds,
  );
  const starts = system.workers.flatMap(({ target }) => target.starts.list());
  t.is(starts.length, 20);
  t.true(starts.every(one => one.starts === 1));
});

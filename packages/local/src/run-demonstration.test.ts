import { fileURLToPath } from 'node:url';

import { localSettingsSchema, readSettingsFile } from '@cranberryturn/settings';
import { createSystemTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { formatStep } from './format-steps.js';
import { runDemonstration } from './run-demonstration.js';
import { startLocalSystem } from './start-local-system.js';

const settingsFile = fileURLToPath(
  new URL('../../../examples/demo.jsonc', import.meta.url),
);

test.serial('every step of the demonstration passes', async t => {
  const timers = createSystemTimerService();
  const settings = readSettingsFile(
    settingsFile,
    localSettingsSchema,
  )._unsafeUnwrap();
  t.log(`seed ${String(settings.seed)}`);
  const system = (await startLocalSystem(settings, timers))._unsafeUnwrap();
  const names: string[] = [];
  const passed = await runDemonstration(system, timers, step => {
    names.push(step.name);
    if (!step.passed) t.fail(formatStep(step));
  });
  await system.stop();
  t.true(passed);
  t.snapshot(names);
});

test.serial(
  'a start that was counted twice fails the demonstration',
  async t => {
    const timers = createSystemTimerService();
    const settings = readSettingsFile(
      settingsFile,
      localSettingsSchema,
    )._unsafeUnwrap();
    const system = (await startLocalSystem(settings, timers))._unsafeUnwrap();
    const failed: string[] = [];
    system.workers[0]?.target.starts.add('register-svc-job', 'task-1');
    const passed = await runDemonstration(system, timers, step => {
      if (!step.passed) failed.push(step.name);
    });
    await system.stop();
    t.false(passed);
    t.deepEqual(failed, ['starts counted by the stand-in targets']);
  },
);

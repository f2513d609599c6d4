/** `npm run demo`: runs the demonstration on a local system and exits with 0 only if every step passed. */
import { fileURLToPath } from 'node:url';

import { ExitCode } from '@cranberryturn/program';
import { localSettingsSchema, readSettingsFile } from '@cranberryturn/settings';
import { createSystemTimerService } from '@cranberryturn/timers';

import { formatStep } from '../format-steps.js';
import { runDemonstration } from '../run-demonstration.js';
import { startLocalSystem } from '../start-local-system.js';

const settingsFile = fileURLToPath(
  new URL('../../../../examples/demo.jsonc', import.meta.url),
);

process.exit(await demonstrate());

async function demonstrate(): Promise<ExitCode> {
  const timers = createSystemTimerService();
  const settings = readSettingsFile(settingsFile, localSettingsSchema);
  if (settings.isErr()) return printError(settings.error);
  const started = await startLocalSystem(settings.value, timers);
  if (started.isErr()) return printError(started.error);
  const system = started.value;
  const { controlReplicas, dispatchers, workers } = system;
  process.stdout.write(
    `Started ${String(controlReplicas.length)} control replicas, ${String(dispatchers.length)} dispatchers, ${String(workers.length)} workers with sidecars, in one process.\n\n`,
  );
  const passed = await runDemonstration(system, timers, step => {
    process.stdout.write(formatStep(step));
  });
  await system.stop();
  process.stdout.write(
    passed ? '\nEvery step passed.\n' : '\nA step FAILED; see above.\n',
  );
  return passed ? ExitCode.Success : ExitCode.Failure;
}

function printError(error: Error): ExitCode {
  process.stderr.write(`${error.message}\n`);
  return ExitCode.Failure;
}

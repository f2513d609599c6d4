import {
  createSharedKey,
  parseSharedKeys,
} from '@cranberryturn/authentication';
import {
  Counter,
  Distribution,
  Gauge,
  WastedMessage,
} from '@cranberryturn/metrics';
import { localSettingsSchema } from '@cranberryturn/settings';
import { TargetFaultKind } from '@cranberryturn/stand-ins';
import { createSystemTimerService, sleep } from '@cranberryturn/timers';
import { IntentKind } from '@cranberryturn/types';
import { createWebSocketNetwork, ProcessRole } from '@cranberryturn/wire';
import test from 'ava';
import { request } from 'undici';

import { MeasuredSystem } from './fakes/measured-system.js';
import {
  callersOf,
  composeJob,
  countStarts,
  jobsPath,
  submit,
} from './fakes/watched-system.js';
import { type LocalSystem, startLocalSystem } from './start-local-system.js';
import { createSystemClient } from './system-client.js';

const seed = 20_261_203;
const timers = createSystemTimerService();
const pollMilliseconds = 5;
const slots = 2;
const longRunMilliseconds = 300;

const settings = localSettingsSchema.parse({
  seed,
  services: [
    {
      service: 'register-svc',
      racks: [{ rack: 'rack-1', dataCentre: 'dong-da', workers: 3 }],
      slots,
      resources: { processors: 64, memoryMebibytes: 131_072 },
    },
  ],
  log: { level: 'error' },
});

test('every declared metric changes in a short run', async t => {
  t.log(`seed ${String(seed)}`);
  const measured = new MeasuredSystem();
  const started = await startLocalSystem(
    settings,
    timers,
    measured.createEnvironment,
  );
  const system = started._unsafeUnwrap();
  t.teardown(() => system.stop());

  await submit(system, composeJob('plain'));
  await submit(system, composeJob('plain'));
  await submit(
    system,
    composeJob('failing', 1, { runMilliseconds: 1, failure: 'no' }),
  );
  await submit(system, {
    ...composeJob('impossible'),
    tasks: [{ taskId: 'a', payload: 1, declared: { processors: 4_000 } }],
  });
  await submit({ ...system, tokens: {} }, composeJob('no token'));
  await measured.waitFor(
    Counter.JobsCompleted,
    Counter.JobsJoined,
    Counter.JobsFailed,
    Counter.JobsRefused,
    Counter.TokensRefused,
    Counter.ElectionsStarted,
    Distribution.SyncMilliseconds,
    Gauge.AnswersHeldBytes,
  );

  const wide = submit(system, composeJob('wide', 40));
  await measured.waitFor(
    Gauge.TasksQueued,
    Gauge.TasksRunning,
    Gauge.SlotsInUse,
    Gauge.JobsOpen,
  );
  await wide;

  await refusePeer(system);
  const client = createSystemClient(system);
  const plan = await client.planChange({
    kind: IntentKind.SetQuota,
    team: { team: 'local-team', weight: 2 },
  });
  await client.confirmPlan(plan.planId);
  await measured.waitFor(
    Counter.PeersRefused,
    Counter.ConfigurationChanges,
    WastedMessage.Heartbeat,
  );

  await answerLate(measured, system);
  await cutConnections(measured, system);
  await adopt(measured, system);
  t.is(await refuseStarts(measured, system), 200);
  await eject(measured, system);

  const declared = [Counter, WastedMessage, Gauge, Distribution].flatMap(
    names => Object.values(names),
  );
  t.deepEqual(
    declared.filter(name => !measured.seen.has(name)),
    [],
  );
});

/** A process with another shared key is refused. */
async function refusePeer(system: LocalSystem): Promise<void> {
  const peers = system.dispatchers[0]?.addresses['peers'];
  const stranger = createWebSocketNetwork({
    self: { role: ProcessRole.Sidecar, name: 'stranger', incarnation: 'run-1' },
    keys: parseSharedKeys(createSharedKey(), 'another key')._unsafeUnwrap(),
    timers,
  });
  await stranger.dial(peers ?? { address: '127.0.0.1', port: 1 });
}

/** A job is cancelled after its task ended, before the dispatcher hears of it. */
async function answerLate(
  measured: MeasuredSystem,
  system: LocalSystem,
): Promise<void> {
  const before = countStarts(system);
  const job = composeJob('late', 1, { runMilliseconds: longRunMilliseconds });
  const answered = submit(system, job);
  while (countStarts(system) === before) await sleep(timers, pollMilliseconds);
  for (const { targetId } of system.workers)
    measured.networkOf(targetId).hold();
  await measured.waitForMore(Counter.TasksAnswered, 1);
  const { address, port } = callersOf(system);
  const cancelled = request(
    `http://${address}:${String(port)}${jobsPath}/late`,
    {
      method: 'DELETE',
      headers: { authorization: `Bearer ${system.tokens.team ?? ''}` },
    },
  );
  await measured.waitFor(Counter.JobsCancelled, WastedMessage.LateCancellation);
  for (const { targetId } of system.workers)
    measured.networkOf(targetId).release();
  await measured.waitFor(WastedMessage.LateAnswer);
  await (await cancelled).body.dump();
  await answered;
}

/** The connections end before answers that were sent over them arrive. */
async function cutConnections(
  measured: MeasuredSystem,
  system: LocalSystem,
): Promise<void> {
  for (const { targetId } of system.workers)
    measured.networkOf(targetId).hold();
  const ended = measured.waitForMore(Counter.TasksAnswered, 3);
  const answered = submit(system, composeJob('cut', 3));
  await ended;
  for (const { targetId } of system.workers) measured.networkOf(targetId).cut();
  for (const { targetId } of system.workers)
    measured.networkOf(targetId).release();
  await measured.waitFor(
    Counter.SessionsSuspected,
    Counter.SessionsResumed,
    WastedMessage.Retransmission,
  );
  await answered;
}

/** The owner of a job does not answer another dispatcher. */
async function adopt(
  measured: MeasuredSystem,
  system: LocalSystem,
): Promise<void> {
  const before = countStarts(system);
  const job = composeJob('adopted', 1, {
    runMilliseconds: longRunMilliseconds,
  });
  const first = submit(system, job, 1);
  while (countStarts(system) === before) await sleep(timers, pollMilliseconds);
  measured.networkOf('dispatcher-2').hold();
  const second = submit(system, job, 0);
  await measured.waitFor(Counter.JobsAdopted);
  measured.networkOf('dispatcher-2').release();
  await Promise.all([first, second]);
}

/** Attempts are on their way to a sidecar that stops: it refuses them, and they run elsewhere. */
async function refuseStarts(
  measured: MeasuredSystem,
  system: LocalSystem,
): Promise<number> {
  const leaving = system.sidecars[0];
  if (leaving === undefined) throw new Error('no sidecar');
  const network = measured.networkOf(leaving.name);
  network.hold();
  const stopped = leaving.stop();
  const refused = measured.waitForMore(Counter.TasksNotStarted, 1);
  const answered = submit(system, composeJob('refused', 3 * slots));
  await refused;
  network.release();
  await measured.waitFor(
    Counter.TasksNotStarted,
    WastedMessage.RefusedStart,
    WastedMessage.RetryAttempt,
  );
  const [{ status }] = await Promise.all([answered, stopped]);
  return status;
}

/** A worker fails every task. */
async function eject(
  measured: MeasuredSystem,
  system: LocalSystem,
): Promise<void> {
  system.workers.at(-1)?.target.setFault({ kind: TargetFaultKind.FailAll });
  let turn = 0;
  while (!measured.seen.has(Counter.TargetsEjected)) {
    turn += 1;
    await submit(
      system,
      composeJob(`eject-${String(turn)}`, 4, { runMilliseconds: 1 }),
    );
    await measured.waitFor();
  }
  await measured.waitFor(Gauge.TargetsEjectedNow);
}

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
import { composeRequestHead, openRawCaller } from './fakes/raw-caller.js';
import {
  getCallersAddress,
  composeJob,
  countStarts,
  jobsPath,
  submitJob,
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

/**
 * The local system runs no transient jobs. That these rise is shown beside these jobs, in evacuations.test.ts,
 * crashes/deadly-tasks.test.ts and shared-queue/shared-queue.test.ts of the package transient-jobs, and in
 * crash-reports.test.ts of worker-gate.
 */
const transientJobMetrics: readonly string[] = [
  Counter.RunsReturnedEvacuated,
  Counter.WorkerCrashes,
  Counter.RunsLostInCrashes,
  Counter.QueuesConfined,
  Counter.RunsIsolated,
  Counter.CapacityGrants,
  Counter.CapacityGrantsExpired,
  Counter.CapacityRequestsUnanswered,
  Gauge.SidecarsUnconfirmed,
  Distribution.CapacityWaitMilliseconds,
];

/** The disk of the local system has no faults. That these rise is shown in register-replica-metrics.test.ts of control. */
const diskFaultMetrics: readonly string[] = [
  Gauge.ReplicaFailed,
  Gauge.ReplicaRecoveryAttempts,
];

test('every declared metric rises above zero in a short run', async t => {
  t.log(`seed ${String(seed)}`);
  const measuredSystem = new MeasuredSystem();
  const started = await startLocalSystem(
    settings,
    timers,
    measuredSystem.createEnvironment,
  );
  const system = started._unsafeUnwrap();
  t.teardown(() => system.stop());

  await submitJob(system, composeJob('plain'));
  await submitJob(system, composeJob('plain'));
  await submitJob(
    system,
    composeJob('failing', 1, { runMilliseconds: 1, failure: 'no' }),
  );
  await submitJob(system, {
    ...composeJob('impossible'),
    tasks: [{ taskId: 'a', payload: 1, declared: { processors: 4_000 } }],
  });
  await submitJob({ ...system, tokens: {} }, composeJob('no token'));
  const tooLarge = openRawCaller(
    getCallersAddress(system),
    composeRequestHead(jobsPath, undefined, Number.MAX_SAFE_INTEGER),
  );
  t.is((await tooLarge.reply).status, 413);
  await measuredSystem.waitForMetrics(
    Counter.JobsCompleted,
    Counter.JobsJoined,
    Counter.JobsFailed,
    Counter.JobsRefused,
    Counter.TokensRefused,
    Counter.CallersRefused,
    Counter.ElectionsStarted,
    Distribution.SyncMilliseconds,
    Gauge.AnswersHeldBytes,
  );

  const wide = submitJob(system, composeJob('wide', 40));
  await measuredSystem.waitForMetrics(
    Gauge.TasksQueued,
    Gauge.TasksRunning,
    Gauge.SlotsInUse,
    Gauge.JobsOpen,
  );
  await wide;

  await connectWithWrongKey(system);
  const client = createSystemClient(system);
  const plan = await client.planChange({
    kind: IntentKind.SetQuota,
    team: { team: 'local-team', weight: 2 },
  });
  await client.confirmPlan(plan.planId);
  await measuredSystem.waitForMetrics(
    Counter.PeersRefused,
    Counter.ConfigurationChanges,
    WastedMessage.Heartbeat,
  );

  await cancelAfterTaskEnded(measuredSystem, system);
  await cutConnections(measuredSystem, system);
  await adoptJob(measuredSystem, system);
  t.is(await sendStartsToStoppingSidecar(measuredSystem, system), 200);
  await ejectTarget(measuredSystem, system);
  await client.evacuate('dong-da');
  await measuredSystem.waitForMetrics(Gauge.EvacuatedDataCentres);

  const declared = [Counter, WastedMessage, Gauge, Distribution].flatMap(
    names => Object.values(names),
  );
  t.deepEqual(
    declared.filter(name => !measuredSystem.observedMetrics.has(name)).sort(),
    [...transientJobMetrics, ...diskFaultMetrics].sort(),
  );
});

/** Dials a dispatcher with a wrong shared key, which is refused. */
async function connectWithWrongKey(system: LocalSystem): Promise<void> {
  const peers = system.dispatchers[0]?.addresses['peers'];
  const stranger = createWebSocketNetwork({
    self: { role: ProcessRole.Sidecar, name: 'stranger', incarnation: 'run-1' },
    keys: parseSharedKeys(createSharedKey(), 'another key')._unsafeUnwrap(),
    timers,
  });
  await stranger.dial(peers ?? { address: '127.0.0.1', port: 1 });
}

/** Cancels a job after its task ended and before the dispatcher receives the answer. */
async function cancelAfterTaskEnded(
  measuredSystem: MeasuredSystem,
  system: LocalSystem,
): Promise<void> {
  const before = countStarts(system);
  const job = composeJob('late', 1, { runMilliseconds: longRunMilliseconds });
  const answered = submitJob(system, job);
  while (countStarts(system) === before) await sleep(timers, pollMilliseconds);
  for (const { targetId } of system.workers)
    measuredSystem.getNetwork(targetId).hold();
  await measuredSystem.waitForIncrease(Counter.TasksAnswered, 1);
  const { address, port } = getCallersAddress(system);
  const cancelled = request(
    `http://${address}:${String(port)}${jobsPath}/late`,
    {
      method: 'DELETE',
      headers: { authorization: `Bearer ${system.tokens.team ?? ''}` },
    },
  );
  await measuredSystem.waitForMetrics(
    Counter.JobsCancelled,
    WastedMessage.LateCancellation,
  );
  for (const { targetId } of system.workers)
    measuredSystem.getNetwork(targetId).release();
  await measuredSystem.waitForMetrics(WastedMessage.LateAnswer);
  await (await cancelled).body.dump();
  await answered;
}

/** Cuts the connections while answers are in transit, so that they are sent again. */
async function cutConnections(
  measuredSystem: MeasuredSystem,
  system: LocalSystem,
): Promise<void> {
  for (const { targetId } of system.workers)
    measuredSystem.getNetwork(targetId).hold();
  const ended = measuredSystem.waitForIncrease(Counter.TasksAnswered, 3);
  const answered = submitJob(system, composeJob('cut', 3));
  await ended;
  for (const { targetId } of system.workers)
    measuredSystem.getNetwork(targetId).cut();
  for (const { targetId } of system.workers)
    measuredSystem.getNetwork(targetId).release();
  await measuredSystem.waitForMetrics(
    Counter.SessionsSuspected,
    Counter.SessionsResumed,
    WastedMessage.Retransmission,
  );
  await answered;
}

/** Submits a running job to a second dispatcher whose calls the owner does not answer. */
async function adoptJob(
  measuredSystem: MeasuredSystem,
  system: LocalSystem,
): Promise<void> {
  const before = countStarts(system);
  const job = composeJob('adopted', 1, {
    runMilliseconds: longRunMilliseconds,
  });
  const first = submitJob(system, job, 1);
  while (countStarts(system) === before) await sleep(timers, pollMilliseconds);
  measuredSystem.getNetwork('dispatcher-2').hold();
  const second = submitJob(system, job, 0);
  await measuredSystem.waitForMetrics(Counter.JobsAdopted);
  measuredSystem.getNetwork('dispatcher-2').release();
  await Promise.all([first, second]);
}

/** Sends starts to a stopping sidecar, which refuses them; the tasks run on other workers. */
async function sendStartsToStoppingSidecar(
  measuredSystem: MeasuredSystem,
  system: LocalSystem,
): Promise<number> {
  const leaving = system.sidecars[0];
  if (leaving === undefined) throw new Error('There is no sidecar.');
  const network = measuredSystem.getNetwork(leaving.name);
  network.hold();
  const stopped = leaving.stop();
  const refused = measuredSystem.waitForIncrease(Counter.TasksNotStarted, 1);
  const answered = submitJob(system, composeJob('refused', 3 * slots));
  await refused;
  network.release();
  await measuredSystem.waitForMetrics(
    Counter.TasksNotStarted,
    WastedMessage.RefusedStart,
    WastedMessage.RetryAttempt,
  );
  const [{ status }] = await Promise.all([answered, stopped]);
  return status;
}

/** Makes a worker fail every task until it is ejected. */
async function ejectTarget(
  measuredSystem: MeasuredSystem,
  system: LocalSystem,
): Promise<void> {
  system.workers.at(-1)?.target.setFault({ kind: TargetFaultKind.FailAll });
  let turn = 0;
  while (!measuredSystem.observedMetrics.has(Counter.TargetsEjected)) {
    turn += 1;
    await submitJob(
      system,
      composeJob(`eject-${String(turn)}`, 4, { runMilliseconds: 1 }),
    );
    await measuredSystem.waitForMetrics();
  }
  await measuredSystem.waitForMetrics(Gauge.TargetsEjectedNow);
}

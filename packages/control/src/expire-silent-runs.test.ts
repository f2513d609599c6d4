import { createSilentLogger } from '@cranberryturn/logger';
import { defaultClaimRetention } from '@cranberryturn/claims';
import { defaultRosterRetention } from '@cranberryturn/membership';
import { createManualTimerService } from '@cranberryturn/timers';
import type { Milliseconds, TargetIdentity } from '@cranberryturn/types';
import { ControlMethod, registrationLease } from '@cranberryturn/wire';
import test from 'ava';

import { createOperationProposer } from './batch-operations.js';
import { type ControlWrite, OperationKind } from './control-operations.js';
import { createControlState } from './control-state.js';
import { expireSilentRuns } from './expire-silent-runs.js';
import {
  getReplicaId,
  requireLeader,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';
import { createMemoryLog } from './fakes/memory-log.js';
import { createInForceTable } from './in-force-table.js';

const second: Milliseconds = 1_000;
const address = { address: '127.0.0.1', port: 9 };

/** Creates a leading replica whose dispatcher reports are written by the test. */
function startLeader() {
  const timers = createManualTimerService();
  const state = createControlState({
    claims: defaultClaimRetention,
    roster: defaultRosterRetention,
  });
  const log = createMemoryLog({ replicaId: 'c1', stateMachine: state, timers });
  const proposer = createOperationProposer(log);
  const inForce = createInForceTable(timers);
  const task = expireSilentRuns({
    timers,
    logger: createSilentLogger(),
    state,
    status: log.status,
    inForce,
    proposer,
  });
  const submit = async (call: ControlWrite): Promise<void> => {
    await proposer.submit({ kind: OperationKind.Call, call });
  };
  const names = () => ({
    dispatchers: [...state.roster.dispatchers.keys()],
    targets: [...state.roster.targets.keys()],
  });
  return { timers, log, inForce, task, submit, names };
}

type LeaderFixture = ReturnType<typeof startLeader>;

function registerDispatcher({ submit }: LeaderFixture, dispatcherId: string) {
  return submit({
    method: ControlMethod.RegisterDispatcher,
    dispatcher: { dispatcherId, incarnation: 'run-1', address },
  });
}

function registerTarget({ submit }: LeaderFixture, targetId: string) {
  return submit({
    method: ControlMethod.RegisterTarget,
    target: {
      targetId,
      incarnation: 'run-1',
      service: 'register-svc',
      host: targetId,
      rack: 'r1',
      dataCentre: 'hoan-kiem',
      resources: { processors: 64, memoryMebibytes: 131_072, accelerators: 0 },
      slots: 8,
      connections: 64,
    },
  });
}

function recordReport(
  { inForce }: LeaderFixture,
  dispatcherId: string,
  silentTargets?: readonly TargetIdentity[],
): void {
  inForce.record({
    dispatcher: { dispatcherId, incarnation: 'run-1' },
    configurationVersion: 0,
    targetsBehind: [],
    silentTargets,
  });
}

test('the roster stays small with 460 workers under new names and a new dispatcher for every ten', async t => {
  const leader = startLeader();
  await registerDispatcher(leader, 'd0');
  const silent: TargetIdentity[] = [];
  let largest = 0;
  for (let run = 1; run <= 460; run += 1) {
    const latest = `d${String(Math.ceil(run / 10))}`;
    if (run % 10 === 1) await registerDispatcher(leader, latest);
    await registerTarget(leader, `w${String(run)}`);
    for (let step = 0; step < 6; step += 1) {
      recordReport(leader, 'd0', [...silent]);
      recordReport(leader, latest, [...silent]);
      await leader.timers.advance(second);
    }
    silent.push({ targetId: `w${String(run)}`, incarnation: 'run-1' });
    const { dispatchers, targets } = leader.names();
    largest = Math.max(largest, dispatchers.length, targets.length);
  }
  t.log(`largest number of runs: ${String(largest)}`);
  t.true(largest <= 8);
  leader.task.cancel();
});

test('a run stays registered while a dispatcher has contact with it, reports late or has not reported', async t => {
  const leader = startLeader();
  await registerDispatcher(leader, 'd1');
  await registerDispatcher(leader, 'd2');
  await registerTarget(leader, 'w1');
  const silent = [{ targetId: 'w1', incarnation: 'run-1' }];
  const advance = async (seconds: number, others?: () => void) => {
    for (let step = 0; step < seconds; step += 1) {
      recordReport(leader, 'd1', silent);
      others?.();
      await leader.timers.advance(second);
    }
    return leader.names().targets;
  };
  t.deepEqual(await advance(14), ['w1'], 'd2 has not reported yet');
  recordReport(leader, 'd2', []);
  t.deepEqual(await advance(14), ['w1'], 'd2 heard it');
  recordReport(leader, 'd2', silent);
  await advance(6);
  recordReport(leader, 'd2');
  t.deepEqual(await advance(2), [], 'the list of d2 is still the same');
  leader.task.cancel();
});

test('after a gap in the proof of leadership no run expires for a full lease', async t => {
  const leader = startLeader();
  await registerDispatcher(leader, 'd1');
  await leader.timers.advance(registrationLease - 2 * second);
  leader.log.isLeading = false;
  await leader.timers.advance(5 * second);
  leader.log.isLeading = true;
  await leader.timers.advance(registrationLease - second);
  t.deepEqual(leader.names().dispatchers, ['d1']);
  await leader.timers.advance(3 * second);
  t.deepEqual(leader.names().dispatchers, []);
  leader.task.cancel();
});

test('a new leader waits a full lease for reports before a run expires', async t => {
  const fixture = await startCluster();
  const activeClient = fixture.cluster.connect('d1');
  const silentClient = fixture.cluster.connect('d2');
  await fixture.timers.advance(second);
  for (const [client, dispatcherId] of [
    [activeClient, 'd1'],
    [silentClient, 'd2'],
  ] as const) {
    await settleWithin(
      fixture.timers,
      client.registry.registerDispatcher({
        dispatcherId,
        incarnation: 'run-1',
        address,
      }),
    );
  }
  const names = () => [
    ...requireLeader(fixture).state.roster.dispatchers.keys(),
  ];
  await fixture.cluster.network.kill('d2');
  void silentClient.stop();
  await fixture.timers.advance(registrationLease - 3 * second);
  await fixture.cluster.crash(getReplicaId(requireLeader(fixture)));
  await fixture.timers.advance(registrationLease - second);
  t.deepEqual(names(), ['d1', 'd2']);
  await fixture.timers.advance(5 * second);
  t.deepEqual(names(), ['d1']);
  await fixture.timers.advance(2 * registrationLease);
  t.deepEqual(names(), ['d1']);
});

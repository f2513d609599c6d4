import {
  type DispatcherView,
  RolloutState,
  type PlanView,
  type StatusView,
} from '@cranberryturn/configuration';
import {
  type AdministrationCall,
  AdministrationMethod,
  AdministrationReplyKind,
} from '@cranberryturn/control';
import { IntentKind } from '@cranberryturn/types';
import test from 'ava';

import {
  type MemoryCluster,
  startMemoryCluster,
} from './fakes/memory-cluster.js';

async function callAdministration<View>(
  cluster: MemoryCluster,
  call: AdministrationCall,
): Promise<View> {
  const reply = await cluster.control.administerLocally(call);
  if (reply.kind !== AdministrationReplyKind.Done) {
    throw new Error(reply.refusal.error);
  }
  return reply.view as View;
}

async function drainRack(cluster: MemoryCluster): Promise<void> {
  const { planId } = await callAdministration<PlanView>(cluster, {
    method: AdministrationMethod.Plan,
    input: { kind: IntentKind.DrainRack, rack: 'rack-1' },
  });
  await callAdministration(cluster, {
    method: AdministrationMethod.Confirm,
    request: { planId, requestId: 'request-1', operator: 'linh' },
  });
}

async function readDispatchers(cluster: MemoryCluster) {
  const status = await callAdministration<StatusView>(cluster, {
    method: AdministrationMethod.Status,
  });
  return status.dispatchers.map(({ state, targetsBehind }: DispatcherView) => ({
    state,
    targetsBehind,
  }));
}

test('a sidecar that has not confirmed a drain is listed until it confirms or its lease expires', async t => {
  for (const isWorkerReturning of [true, false]) {
    const cluster = await startMemoryCluster({
      dispatchers: 1,
      workers: 2,
      slots: 2,
      runMilliseconds: 50,
    });
    cluster.isolatedProcesses.add('worker-1');
    for (const connection of cluster.network.connections) {
      if (connection.from === 'worker-1') connection.isSilent = true;
    }
    await cluster.timers.advance(5_000);
    await drainRack(cluster);
    await cluster.timers.advance(2_000);
    t.deepEqual(await readDispatchers(cluster), [
      { state: RolloutState.Behind, targetsBehind: ['worker-1'] },
    ]);
    if (isWorkerReturning) cluster.isolatedProcesses.clear();
    await cluster.timers.advance(isWorkerReturning ? 8_000 : 20_000);
    t.deepEqual(await readDispatchers(cluster), [
      { state: RolloutState.InForce, targetsBehind: [] },
    ]);
    t.is(cluster.workers[0]?.sidecar.runner.load.draining, isWorkerReturning);
    await cluster.stop();
  }
});

test('no dispatcher reports a drain as in force before its sidecars have applied it', async t => {
  const cluster = await startMemoryCluster({
    dispatchers: 2,
    workers: 3,
    slots: 2,
    runMilliseconds: 50,
  });
  await drainRack(cluster);
  let inForceAt: number | undefined;
  for (let step = 0; step < 3_000 && inForceAt === undefined; step += 1) {
    const views = await readDispatchers(cluster);
    if (views.every(one => one.state === RolloutState.InForce)) {
      inForceAt = step;
      t.true(cluster.workers.every(one => one.sidecar.runner.load.draining));
    }
    await cluster.timers.advance(1);
  }
  t.log(`in force after ${String(inForceAt)} ms of the manual clock`);
  t.not(inForceAt, undefined);
  await cluster.stop();
});

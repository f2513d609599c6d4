import { createControlClient } from '@cranberryturn/control-client';
import { createSilentLogger } from '@cranberryturn/logger';
import { createRandomSource } from '@cranberryturn/random';
import { createManualTimerService } from '@cranberryturn/timers';
import { ClaimOutcomeKind, type ClaimRequest } from '@cranberryturn/types';
import { createMemoryNetwork, ProcessRole } from '@cranberryturn/wire';
import test from 'ava';
import { okAsync } from 'neverthrow';

import { createMemoryLog } from './fakes/memory-log.js';
import { startControl } from './start-control.js';

const loopback = { address: '127.0.0.1', port: 0 };
const owner = { dispatcherId: 'd1', incarnation: 'run-1' };
const claim: ClaimRequest = {
  team: 'planning',
  jobId: 'job-1',
  service: 'register-svc',
  digest: 'aa',
  owner,
  submissionId: 's1',
};

async function startNodeAndClient() {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, 1);
  const node = (
    await startControl({
      listen: loopback,
      joinNetwork: name =>
        network.join({ role: ProcessRole.Control, name, incarnation: 'run' }),
      timers,
      peers: [],
      openLog: stateMachine =>
        okAsync(createMemoryLog({ replicaId: 'c1', stateMachine, timers })),
      initialConfiguration: {
        services: [],
        teams: [],
        workers: [],
        drainedRacks: [],
        drainedDataCentres: [],
        controlHosts: [],
      },
      logger: createSilentLogger(),
      decisions: () => undefined,
    })
  )._unsafeUnwrap();
  const client = createControlClient({
    network: network.join({
      role: ProcessRole.Dispatcher,
      name: 'd1',
      incarnation: 'run-1',
    }),
    timers,
    random: createRandomSource(1),
    self: owner,
    controlHosts: [{ replicaId: 'c1', address: node.address }],
  });
  await timers.advance(1_000);
  return { timers, network, node, client };
}

test('a dispatcher registers, claims and watches over one connection', async t => {
  const { timers, node, client } = await startNodeAndClient();
  const registered = client.registry.registerDispatcher({
    ...owner,
    address: { address: '127.0.0.1', port: 9 },
  });
  const claimed = client.claims.claimJob(claim);
  await timers.advance(100);
  t.true((await registered).isOk());
  t.is((await claimed)._unsafeUnwrap().kind, ClaimOutcomeKind.Granted);
  t.true(client.isFresh());
  t.is(client.configuration.current().version, 1);
  t.is(client.roster.current().dispatchers[0]?.dispatcherId, 'd1');
  t.is(client.roster.current().leader, 'c1');
  await client.stop();
  await node.stop();
});

test('claims of one event loop turn share one log entry', async t => {
  const { timers, node, client } = await startNodeAndClient();
  const before = node.log.status().lastIndex;
  const claims = Array.from({ length: 50 }, (_, number) =>
    client.claims.claimJob({ ...claim, jobId: `job-${String(number)}` }),
  );
  await timers.advance(100);
  const outcomes = await Promise.all(claims);
  t.true(outcomes.every(outcome => outcome.isOk()));
  t.is(node.log.status().lastIndex, before + 1);
});

test('finished claims are reported in one batch', async t => {
  const { timers, node, client } = await startNodeAndClient();
  const claimed = client.claims.claimJob(claim);
  await timers.advance(100);
  await claimed;
  client.claims.finishClaim('planning', 'job-1', 1);
  client.claims.finishClaim('planning', 'unknown', 1);
  const before = node.log.status().lastIndex;
  await timers.advance(200);
  t.is(node.log.status().lastIndex, before + 1);
  t.is(node.state.claims.finished.size, 1);
  t.is(node.state.claims.unfinished.size, 0);
});

test('a dispatcher detects a silent connection by timeout and dials a new one', async t => {
  const { timers, network, client } = await startNodeAndClient();
  for (const connection of network.connections) connection.isSilent = true;
  const claimed = client.claims.claimJob(claim);
  await timers.advance(2_500);
  t.is((await claimed)._unsafeUnwrap().kind, ClaimOutcomeKind.Granted);
  await timers.advance(2_000);
  t.true(client.isFresh());
  t.true(network.connections.length > 1);
});

test('a client that stops while control is down leaves no timer running', async t => {
  const { timers, node, client } = await startNodeAndClient();
  await node.stop();
  client.claims.finishClaim('planning', 'job-1', 1);
  const stopped = client.stop();
  await timers.advance(10_000);
  await stopped;
  await timers.advance(10_000);
  t.is(timers.countPendingTimers(), 0);
});

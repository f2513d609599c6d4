import {
  type ClusterConfiguration,
  emptyConfiguration,
  type Intent,
  IntentKind,
  WorkerState,
} from '@cranberryturn/types';
import test from 'ava';

import {
  assembleChangePlan,
  describeEffect,
  describeWarning,
  listWarnings,
  predictTargetImpact,
  parseIntent,
  parsePlanIdentifier,
} from './index.js';

const service = 'register-svc';
const address = { address: '10.0.0.1', port: 7_400 };
const service1 = {
  service,
  queueLimit: 10,
  defaultDeadlineMilliseconds: 1_000,
  retryBudgetPercent: 10,
};

function worker(targetId: string, rack: string, dataCentre: string) {
  return { targetId, service, rack, dataCentre, state: WorkerState.Active };
}

const configuration: ClusterConfiguration = {
  ...emptyConfiguration,
  version: 7,
  services: [service1],
  teams: [{ team: 'wards', weight: 1 }],
  workers: [
    worker('w1', 'r1', 'hoan-kiem'),
    worker('w2', 'r1', 'hoan-kiem'),
    worker('w3', 'r2', 'dong-da'),
  ],
  drainedRacks: ['r2'],
  controlHosts: ['c1', 'c2', 'c3'].map((replicaId, position) => ({
    replicaId,
    host: replicaId,
    address: { ...address, port: address.port + position },
  })),
};

const c4 = {
  replicaId: 'c4',
  host: 'h4',
  address: { address: '10.0.0.9', port: 1 },
};

const possible: readonly Intent[] = [
  {
    kind: IntentKind.AddWorker,
    worker: { targetId: 'w4', service, rack: 'r1', dataCentre: 'hoan-kiem' },
  },
  { kind: IntentKind.RemoveWorker, targetId: 'w1' },
  { kind: IntentKind.DrainWorker, targetId: 'w1' },
  {
    kind: IntentKind.DrainWorker,
    targetId: 'w9',
    announced: { service, rack: 'r9', dataCentre: 'dong-da' },
  },
  { kind: IntentKind.DrainRack, rack: 'r1' },
  { kind: IntentKind.UndrainRack, rack: 'r2' },
  { kind: IntentKind.DrainDataCentre, dataCentre: 'hoan-kiem' },
  {
    kind: IntentKind.SetService,
    service: { ...service1, service: 'marcacoes' },
  },
  { kind: IntentKind.SetLimit, service, concurrencyLimit: 50, queueLimit: 20 },
  { kind: IntentKind.RemoveService, service },
  {
    kind: IntentKind.SetQuota,
    team: { team: 'traders', weight: 3, concurrencyQuota: 9 },
  },
  { kind: IntentKind.RemoveTeam, team: 'wards' },
  { kind: IntentKind.AddControlHost, controlHost: c4 },
  { kind: IntentKind.RemoveControlHost, replicaId: 'c3' },
  {
    kind: IntentKind.ReplaceControlHost,
    replicaId: 'c1',
    replacement: { ...c4, address },
  },
];

const impossible: readonly Intent[] = [
  { kind: IntentKind.DrainWorker, targetId: 'w9' },
  { kind: IntentKind.UndrainWorker, targetId: 'w1' },
  { kind: IntentKind.DrainRack, rack: 'r2' },
  { kind: IntentKind.UndrainRack, rack: 'r1' },
  { kind: IntentKind.UndrainDataCentre, dataCentre: 'dong-da' },
  { kind: IntentKind.SetLimit, service: 'marcacoes', queueLimit: 1 },
  { kind: IntentKind.RemoveService, service: 'marcacoes' },
  { kind: IntentKind.RemoveTeam, team: 'traders' },
  { kind: IntentKind.SetQuota, team: { team: 'wards', weight: 1 } },
  { kind: IntentKind.AddControlHost, controlHost: { ...c4, replicaId: 'c1' } },
  { kind: IntentKind.AddControlHost, controlHost: { ...c4, address } },
  { kind: IntentKind.RemoveControlHost, replicaId: 'c9' },
];

test('each intent says every effect and every warning', t => {
  t.snapshot(
    possible.map(intent => {
      const plan = assembleChangePlan(configuration, intent)._unsafeUnwrap();
      const observation = predictTargetImpact(configuration, plan.after, []);
      return {
        intent: intent.kind,
        effects: plan.effects.map(describeEffect),
        warnings: listWarnings(plan, observation).map(describeWarning),
      };
    }),
  );
});

test('an impossible intent gets a sentence and no plan', t => {
  t.snapshot(
    impossible.map(
      intent =>
        assembleChangePlan(configuration, intent)._unsafeUnwrapErr().message,
    ),
  );
});

test('an identifier holds its intent and base version, and the same plan has the same one', t => {
  for (const intent of possible) {
    const plan = assembleChangePlan(configuration, intent)._unsafeUnwrap();
    const reference = parsePlanIdentifier(plan.planId)._unsafeUnwrap();
    t.deepEqual(reference.intent, intent);
    t.is(reference.baseVersion, 7);
    const again = assembleChangePlan(configuration, reference.intent);
    t.is(again._unsafeUnwrap().planId, plan.planId);
  }
});

test('intents with wrong fields are refused before they are planned', t => {
  const wrong = [
    undefined,
    { kind: 'burn-rack', rack: 'r1' },
    { kind: IntentKind.DrainRack, rack: '' },
    { kind: IntentKind.DrainRack, rack: 'r1', force: true },
    { kind: IntentKind.SetQuota, team: { team: 'wards', weight: -1 } },
    { kind: IntentKind.SetLimit, service },
    {
      kind: IntentKind.AddControlHost,
      controlHost: { ...c4, address: { address: 'localhost', port: 1 } },
    },
  ];
  t.snapshot(wrong.map(input => parseIntent(input)._unsafeUnwrapErr().message));
});

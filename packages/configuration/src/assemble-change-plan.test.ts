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
const registerService = {
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
  services: [registerService],
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

const validIntents: readonly Intent[] = [
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
    service: { ...registerService, service: 'marcacoes' },
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

const impossibleIntents: readonly Intent[] = [
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

test('the plan of each intent describes all effects and warnings', t => {
  t.snapshot(
    validIntents.map(intent => {
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

test('an intent that cannot be applied is refused with a reason', t => {
  t.snapshot(
    impossibleIntents.map(
      intent =>
        assembleChangePlan(configuration, intent)._unsafeUnwrapErr().message,
    ),
  );
});

test('a plan identifier encodes intent and base version and is the same for the same plan', t => {
  for (const intent of validIntents) {
    const plan = assembleChangePlan(configuration, intent)._unsafeUnwrap();
    const reference = parsePlanIdentifier(plan.planId)._unsafeUnwrap();
    t.deepEqual(reference.intent, intent);
    t.is(reference.baseVersion, 7);
    const again = assembleChangePlan(configuration, reference.intent);
    t.is(again._unsafeUnwrap().planId, plan.planId);
  }
});

test('intents with invalid fields fail validation', t => {
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

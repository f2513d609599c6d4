import { readdirSync, readFileSync } from 'node:fs';

import test from 'ava';
import * as z from 'zod';

import {
  commandLineSettingsSchema,
  controlSettingsSchema,
  dispatcherSettingsSchema,
  initialConfigurationSchema,
  localSettingsSchema,
  parseSettingsText,
  sidecarSettingsSchema,
} from './index.js';

const examples = new URL('../../../examples/', import.meta.url);

interface Deployment {
  readonly folder: string;
  readonly service: string;
  readonly processors: number;
  readonly dataCentres: readonly string[];
}

const deployments: readonly Deployment[] = [
  {
    folder: 'hanoi',
    service: 'register-svc',
    processors: 64,
    dataCentres: ['cau-giay', 'dong-da', 'hoan-kiem'],
  },
  {
    folder: 'portugal',
    service: 'marcacoes',
    processors: 32,
    dataCentres: ['lisboa-a', 'lisboa-b', 'porto-a', 'porto-b'],
  },
];

function readAll<Schema extends z.ZodType>(
  folder: string,
  prefix: string,
  schema: Schema,
): readonly z.output<Schema>[] {
  const names = readdirSync(new URL(`${folder}/`, examples));
  return names
    .filter(name => name.startsWith(prefix))
    .map(name => {
      const text = readFileSync(new URL(`${folder}/${name}`, examples), 'utf8');
      return parseSettingsText(text, name, schema)._unsafeUnwrap();
    });
}

function listDistinct<Value>(values: readonly Value[]): readonly Value[] {
  return [...new Set(values)].sort();
}

for (const { folder, service, processors, dataCentres } of deployments) {
  const sidecars = () => readAll(folder, 'sidecar-', sidecarSettingsSchema);
  const dispatchers = () =>
    readAll(folder, 'dispatcher-', dispatcherSettingsSchema);
  const controls = () => readAll(folder, 'control-', controlSettingsSchema);

  test(`${folder}: eleven workers are spread over racks of at most three`, t => {
    const workers = sidecars();
    t.is(workers.length, 11);
    t.is(listDistinct(workers.map(worker => worker.targetId)).length, 11);
    const addresses = workers.map(worker => worker.operations.address);
    t.is(listDistinct(addresses).length, 11);
    t.deepEqual(
      listDistinct(workers.map(worker => worker.dataCentre)),
      dataCentres,
    );
    for (const rack of listDistinct(workers.map(worker => worker.rack))) {
      t.true(workers.filter(worker => worker.rack === rack).length <= 3);
    }
    t.is(listDistinct(workers.map(worker => worker.rack)).length, 4);
    for (const worker of workers) {
      t.like(worker, { service, slots: 8, connections: 64 });
      t.like(worker.resources, { processors, memoryMebibytes: 131_072 });
    }
  });

  test(`${folder}: the settings of the processes agree on their addresses`, t => {
    const members = controls().map(({ replicaId, peers }) => ({
      replicaId,
      address: peers.listen.address,
      port: peers.listen.port,
    }));
    const seeds = dispatchers().map(dispatcher => dispatcher.peers);
    t.is(members.length, 3);
    t.is(seeds.length, 3);
    for (const control of controls())
      assertSameEntries(control.peers.members, members);
    for (const { control } of dispatchers())
      assertSameEntries(control, members);
    for (const sidecar of sidecars())
      assertSameEntries(sidecar.dispatchers, seeds);
    const [operatorSettings] = readAll(
      folder,
      'cranberryctl',
      commandLineSettingsSchema,
    );
    const administration = controls().map(
      control =>
        `http://${control.administration.address}:${String(control.administration.port)}`,
    );
    assertSameEntries(operatorSettings?.administration ?? [], administration);

    function assertSameEntries(
      left: readonly unknown[],
      right: readonly unknown[],
    ): void {
      const sort = (values: readonly unknown[]) =>
        values.map(value => JSON.stringify(value)).sort();
      t.deepEqual(sort(left), sort(right));
    }
  });

  test(`${folder}: teams agree, and the local settings have the same racks`, t => {
    const [configuration] = readAll(
      folder,
      'initial-configuration',
      initialConfigurationSchema,
    );
    const teams = configuration?.teams.map(({ team }) => team);
    for (const dispatcher of dispatchers()) {
      t.deepEqual(
        dispatcher.teams.map(({ team }) => team),
        teams,
      );
    }
    const [local] = readAll(folder, 'local', localSettingsSchema);
    const racks = local?.services[0]?.racks ?? [];
    const counted = racks.map(({ rack }) => ({
      rack,
      workers: sidecars().filter(worker => worker.rack === rack).length,
    }));
    t.deepEqual(
      racks.map(({ rack, workers }) => ({ rack, workers })),
      counted,
    );
    t.is(
      racks.reduce((sum, { workers }) => sum + workers, 0),
      11,
    );
  });
}

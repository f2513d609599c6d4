/**
 * Guards against the loss of acknowledged publications. Random crashes, disk losses, replacements and
 * partitions hit as many hosts at a time as are tolerated, and all hosts may restart at once; no
 * replica may then read an older version than the last acknowledged one, and after a final power cut
 * that takes as many disks as are tolerated the group must be back.
 */
import type { Publication } from '@cranberryturn/types';
import test from 'ava';
import fc from 'fast-check';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { ControlNode } from './control-node.js';
import {
  type ClusterFixture,
  settleWithin,
  startCluster,
} from './fakes/cluster-fixture.js';

const seed = Number(process.env.MODEL_SEED ?? 20_261_203);
const runs = Number(process.env.MODEL_RUNS ?? 25);
const founders = ['c1', 'c2', 'c3'];
const dataCentres = 4;
/** Time within which a restarted or new host is a voter again. */
const catchUpMilliseconds = 4_000;
const recoveryMilliseconds = 6_000;

enum ModelEvent {
  Publish = 'publish',
  Restart = 'restart',
  LoseDisk = 'lose-disk',
  Replace = 'replace',
  RestartAll = 'restart-all',
  CutOff = 'cut-off',
  Advance = 'advance',
}

interface Step {
  readonly event: ModelEvent;
  readonly hostIndex: number;
  readonly milliseconds: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  event: fc.constantFrom(
    ...Object.values(ModelEvent),
    ModelEvent.Publish,
    ModelEvent.Publish,
  ),
  hostIndex: fc.nat(11),
  milliseconds: fc.integer({ min: 10, max: 3_000 }),
});

/** Spreads hosts over data centres; replacements make the spread uneven. */
const findDataCentre = (host: string): string =>
  `dc${String(Number(host.slice(1)) % dataCentres)}`;

/** State of one model run. */
interface Model {
  readonly fixture: ClusterFixture;
  readonly currentHosts: string[];
  readonly tolerated: number;
  version: number;
  acknowledged: number;
  lastHostNumber: number;
  /** For each host, until when it still counts as lost. */
  readonly lostUntil: Map<string, number>;
}

test('no acknowledged publication is lost or reverted, whichever host is lost', async t => {
  await checkGroup(3, 1);
  t.pass();
});

test('no acknowledged publication is lost or reverted by a group of six, whichever two hosts are lost', async t => {
  await checkGroup(6, 2);
  t.pass();
});

test('no acknowledged publication is lost or reverted by seven voters and a standby, whichever two hosts are lost', async t => {
  await checkGroup(8, 2, 1);
  t.pass();
});

async function checkGroup(
  size: number,
  tolerated: number,
  toleratedDataCentres = 0,
): Promise<void> {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 3, maxLength: 14 }),
      fc.array(fc.nat(11), { minLength: tolerated, maxLength: tolerated }),
      async (steps, wipedIndexes) => {
        const model = await startModel(size, tolerated, toleratedDataCentres);
        for (const step of steps) await applyStep(model, step);
        model.fixture.cluster.network.heal();
        await model.fixture.timers.advance(recoveryMilliseconds);
        await cutPower(model, wipedIndexes);
        await checkAllReplicas(model);
        await requireLatestVersion(model);
      },
    ),
    { seed, numRuns: toleratedDataCentres === 0 ? runs : Math.ceil(runs / 2) },
  );
}

async function startModel(
  size: number,
  tolerated: number,
  toleratedDataCentres: number,
): Promise<Model> {
  const fixture = await startCluster({
    size: founders.length,
    minimumVoters: 2 * tolerated + 1,
    toleratedDataCentres,
    ...(toleratedDataCentres === 0 ? {} : { findDataCentre }),
  });
  const currentHosts = [...founders];
  for (let number = founders.length + 1; number <= size; number += 1) {
    currentHosts.push(`c${String(number)}`);
    await fixture.cluster.startBlank(`c${String(number)}`);
  }
  await fixture.timers.advance(catchUpMilliseconds);
  return {
    fixture,
    currentHosts,
    tolerated,
    version: 0,
    acknowledged: 0,
    lastHostNumber: size,
    lostUntil: new Map(),
  };
}

async function applyStep(model: Model, step: Step): Promise<void> {
  const { fixture } = model;
  const host =
    model.currentHosts[step.hostIndex % model.currentHosts.length] ?? '';
  switch (step.event) {
    case ModelEvent.Publish:
      await publishNext(model, host);
      break;
    case ModelEvent.Restart:
      await withHostLost(model, host, async () => {
        await fixture.cluster.crash(host);
        await fixture.timers.advance(step.milliseconds);
        await restartHost(model, host);
      });
      break;
    case ModelEvent.LoseDisk:
      await withHostLost(model, host, async () => {
        await fixture.cluster.crash(host);
        fixture.cluster.wipe(host);
        await fixture.timers.advance(step.milliseconds);
        await startBlank(model, host);
      });
      break;
    case ModelEvent.Replace:
      await withHostLost(model, host, () =>
        replaceHost(model, host, step.milliseconds),
      );
      break;
    case ModelEvent.RestartAll:
      await restartAll(model, []);
      break;
    case ModelEvent.CutOff:
      await withHostLost(model, host, async () => {
        fixture.cluster.cutFromReplicas(host);
        await fixture.timers.advance(step.milliseconds);
        fixture.cluster.network.heal();
      });
      break;
    case ModelEvent.Advance:
      await fixture.timers.advance(step.milliseconds);
      break;
  }
  await checkAllReplicas(model);
}

/** Waits until fewer hosts count as lost than are tolerated, then applies the event to one more. */
async function withHostLost(
  model: Model,
  host: string,
  event: () => Promise<void>,
): Promise<void> {
  const { timers } = model.fixture;
  for (;;) {
    const others = [...model.lostUntil]
      .filter(([lost, until]) => lost !== host && until > timers.now())
      .map(([, until]) => until);
    if (others.length < model.tolerated) break;
    await timers.advance(Math.min(...others) - timers.now());
  }
  model.lostUntil.set(host, Infinity);
  await event();
  model.lostUntil.set(host, timers.now() + catchUpMilliseconds);
}

/** Waits until no host counts as lost, then restarts all hosts, some of them with empty disks. */
async function restartAll(
  model: Model,
  wiped: readonly string[],
): Promise<void> {
  const { cluster, timers } = model.fixture;
  const settledAt = Math.max(timers.now(), ...model.lostUntil.values());
  await timers.advance(settledAt - timers.now());
  for (const host of model.currentHosts) await cluster.crash(host);
  for (const host of wiped) cluster.wipe(host);
  await timers.advance(200);
  for (const host of model.currentHosts) {
    if (wiped.includes(host)) await startBlank(model, host);
    else await restartHost(model, host);
    model.lostUntil.set(host, timers.now() + catchUpMilliseconds);
  }
}

/** Publishes, and cuts the power of all hosts right after the acknowledgement. */
async function cutPower(
  model: Model,
  wipedIndexes: readonly number[],
): Promise<void> {
  const { currentHosts, fixture } = model;
  const wiped = wipedIndexes.map(
    index => currentHosts[index % currentHosts.length] ?? '',
  );
  await publishNext(model, currentHosts[0] ?? '');
  await restartAll(model, wiped);
  await fixture.timers.advance(recoveryMilliseconds);
}

async function requireLatestVersion(model: Model): Promise<void> {
  const [node] = model.fixture.cluster.nodes();
  if (node === undefined) throw new Error('No replica runs.');
  const version = await readVersion(model.fixture, node);
  if (version === undefined) throw new Error('The group is not back.');
}

async function replaceHost(
  model: Model,
  host: string,
  pause: number,
): Promise<void> {
  const { cluster, timers } = model.fixture;
  await cluster.crash(host);
  await timers.advance(pause);
  model.lastHostNumber += 1;
  const newHost = `c${String(model.lastHostNumber)}`;
  model.currentHosts.splice(model.currentHosts.indexOf(host), 1, newHost);
  await startBlank(model, newHost);
}

/**
 * Restarts a host on its old disk. Founding hosts start as founders; later hosts have their
 * identity on disk.
 */
async function restartHost(model: Model, host: string): Promise<void> {
  const { cluster } = model.fixture;
  if (founders.includes(host)) await cluster.start(host, listSeeds(model));
  else await startBlank(model, host);
}

async function startBlank(model: Model, host: string): Promise<void> {
  await model.fixture.cluster.startBlank(host, listSeeds(model));
}

/** A host that starts is told the addresses of hosts that run control at that time. */
function listSeeds({ currentHosts }: Model): readonly string[] {
  return currentHosts.slice(0, founders.length);
}

async function publishNext(model: Model, host: string): Promise<void> {
  const node = model.fixture.cluster.findNode(host);
  if (node === undefined) return;
  model.version += 1;
  const { version } = model;
  const reply = await settleWithin(
    model.fixture.timers,
    node.administer({
      method: AdministrationMethod.Publish,
      publication: { version, document: String(version) },
    }),
  );
  if (reply.kind === AdministrationReplyKind.Done) model.acknowledged = version;
}

async function checkAllReplicas({
  fixture,
  acknowledged,
}: Model): Promise<void> {
  for (const node of fixture.cluster.nodes())
    await checkReplica(fixture, node, acknowledged);
}

async function checkReplica(
  fixture: ClusterFixture,
  node: ControlNode,
  acknowledged: number,
): Promise<void> {
  const version = await readVersion(fixture, node);
  if (version === undefined || version >= acknowledged) return;
  throw new Error(
    `read ${String(version)} after ${String(acknowledged)} was acknowledged`,
  );
}

async function readVersion(
  { timers }: ClusterFixture,
  node: ControlNode,
): Promise<number | undefined> {
  const reply = await settleWithin(
    timers,
    node.administer({ method: AdministrationMethod.ReadPublication }),
  );
  if (reply.kind !== AdministrationReplyKind.Done) return undefined;
  return (reply.view as Publication).version;
}

/**
 * Guards against the loss of acknowledged publications. Random crashes, disk losses, replacements and
 * partitions hit one host at a time, and all hosts may restart at once; no replica may then read an
 * older version than the last acknowledged one.
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
const hosts = ['c1', 'c2', 'c3'];
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
  hostIndex: fc.nat(2),
  milliseconds: fc.integer({ min: 10, max: 3_000 }),
});

/** State of one model run. */
interface Model {
  readonly fixture: ClusterFixture;
  readonly currentHosts: string[];
  version: number;
  acknowledged: number;
  lastHostNumber: number;
  /** Time until which the last host that was lost still counts as lost. */
  lostUntil: number;
}

test('no acknowledged publication is lost or reverted, whichever host is lost', async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 3, maxLength: 14 }),
      async steps => {
        const fixture = await startCluster({ size: 3, minimumVoters: 3 });
        const model: Model = {
          fixture,
          currentHosts: [...hosts],
          version: 0,
          acknowledged: 0,
          lastHostNumber: 3,
          lostUntil: 0,
        };
        for (const step of steps) await applyStep(model, step);
        fixture.cluster.network.heal();
        await fixture.timers.advance(recoveryMilliseconds);
        await checkAllReplicas(model);
      },
    ),
    { seed, numRuns: runs },
  );
  t.pass();
});

async function applyStep(model: Model, step: Step): Promise<void> {
  const { fixture } = model;
  const host =
    model.currentHosts[step.hostIndex % model.currentHosts.length] ?? '';
  switch (step.event) {
    case ModelEvent.Publish:
      await publishNext(model, host);
      break;
    case ModelEvent.Restart:
      await withHostLost(model, async () => {
        await fixture.cluster.crash(host);
        await fixture.timers.advance(step.milliseconds);
        await restartHost(fixture, host);
      });
      break;
    case ModelEvent.LoseDisk:
      await withHostLost(model, async () => {
        await fixture.cluster.crash(host);
        fixture.cluster.wipe(host);
        await fixture.timers.advance(step.milliseconds);
        await fixture.cluster.startBlank(host);
      });
      break;
    case ModelEvent.Replace:
      await withHostLost(model, () =>
        replaceHost(model, host, step.milliseconds),
      );
      break;
    case ModelEvent.RestartAll:
      await withHostLost(model, async () => {
        for (const one of model.currentHosts) await fixture.cluster.crash(one);
        await fixture.timers.advance(200);
        for (const one of model.currentHosts) await restartHost(fixture, one);
      });
      break;
    case ModelEvent.CutOff:
      await withHostLost(model, async () => {
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

/** Waits until the previous host has caught up, because only one loss at a time is tolerated. */
async function withHostLost(
  model: Model,
  event: () => Promise<void>,
): Promise<void> {
  const { timers } = model.fixture;
  if (timers.now() < model.lostUntil)
    await timers.advance(model.lostUntil - timers.now());
  await event();
  model.lostUntil = timers.now() + catchUpMilliseconds;
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
  await cluster.startBlank(newHost);
}

/**
 * Restarts a host on its old disk. Founding hosts start as founders; later hosts have their
 * identity on disk.
 */
async function restartHost(
  { cluster }: ClusterFixture,
  host: string,
): Promise<void> {
  if (hosts.includes(host)) await cluster.start(host);
  else await cluster.startBlank(host);
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
  const reply = await settleWithin(
    fixture.timers,
    node.administer({ method: AdministrationMethod.ReadPublication }),
  );
  if (reply.kind !== AdministrationReplyKind.Done) return;
  const { version } = reply.view as Publication;
  if (version < acknowledged) {
    throw new Error(
      `read ${String(version)} after ${String(acknowledged)} was acknowledged`,
    );
  }
}

/** Random losses within what is tolerated: no publication that was acknowledged is ever lost or reverted. */
import type { Publication } from '@cranberryturn/types';
import test from 'ava';
import fc from 'fast-check';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { ControlNode } from './control-node.js';
import { type Bed, settleWithin, startCluster } from './fakes/test-bed.js';

const seed = Number(process.env.MODEL_SEED ?? 20_261_203);
const runs = Number(process.env.MODEL_RUNS ?? 25);
const hosts = ['c1', 'c2', 'c3'];
/** Time in which a host that is back, or new, is a full member again. */
const catchUpMilliseconds = 4_000;
const recoveryMilliseconds = 6_000;

enum Event {
  Publish = 'publish',
  Restart = 'restart',
  LoseDisk = 'lose-disk',
  Replace = 'replace',
  RestartAll = 'restart-all',
  CutOff = 'cut-off',
  Advance = 'advance',
}

interface Step {
  readonly event: Event;
  readonly place: number;
  readonly milliseconds: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  event: fc.constantFrom(...Object.values(Event), Event.Publish, Event.Publish),
  place: fc.nat(2),
  milliseconds: fc.integer({ min: 10, max: 3_000 }),
});

/** What the model knows. */
interface Model {
  readonly bed: Bed;
  readonly present: string[];
  version: number;
  acknowledged: number;
  newHosts: number;
  /** Until then, another host counts as lost. */
  lostUntil: number;
}

test('no acknowledged publication is lost or reverted, whichever host is lost', async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 3, maxLength: 14 }),
      async steps => {
        const bed = await startCluster({ size: 3, minimumVoters: 3 });
        const model: Model = {
          bed,
          present: [...hosts],
          version: 0,
          acknowledged: 0,
          newHosts: 3,
          lostUntil: 0,
        };
        for (const step of steps) await apply(model, step);
        bed.cluster.network.heal();
        await bed.timers.advance(recoveryMilliseconds);
        await readEverywhere(model);
      },
    ),
    { seed, numRuns: runs },
  );
  t.pass();
});

async function apply(model: Model, step: Step): Promise<void> {
  const { bed } = model;
  const host = model.present[step.place % model.present.length] ?? '';
  switch (step.event) {
    case Event.Publish:
      await publish(model, host);
      break;
    case Event.Restart:
      await lose(model, async () => {
        await bed.cluster.crash(host);
        await bed.timers.advance(step.milliseconds);
        await startAgain(bed, host);
      });
      break;
    case Event.LoseDisk:
      await lose(model, async () => {
        await bed.cluster.crash(host);
        bed.cluster.wipe(host);
        await bed.timers.advance(step.milliseconds);
        await bed.cluster.startBlank(host);
      });
      break;
    case Event.Replace:
      await lose(model, () => replace(model, host, step.milliseconds));
      break;
    case Event.RestartAll:
      await lose(model, async () => {
        for (const one of model.present) await bed.cluster.crash(one);
        await bed.timers.advance(200);
        for (const one of model.present) await startAgain(bed, one);
      });
      break;
    case Event.CutOff:
      await lose(model, async () => {
        bed.cluster.cutFromReplicas(host);
        await bed.timers.advance(step.milliseconds);
        bed.cluster.network.heal();
      });
      break;
    case Event.Advance:
      await bed.timers.advance(step.milliseconds);
      break;
  }
  await readEverywhere(model);
}

/** One host is lost at a time; it counts as lost until it has caught up. */
async function lose(model: Model, event: () => Promise<void>): Promise<void> {
  const { timers } = model.bed;
  if (timers.now() < model.lostUntil)
    await timers.advance(model.lostUntil - timers.now());
  await event();
  model.lostUntil = timers.now() + catchUpMilliseconds;
}

async function replace(
  model: Model,
  host: string,
  pause: number,
): Promise<void> {
  const { cluster, timers } = model.bed;
  await cluster.crash(host);
  await timers.advance(pause);
  model.newHosts += 1;
  const newcomer = `c${String(model.newHosts)}`;
  model.present.splice(model.present.indexOf(host), 1, newcomer);
  await cluster.startBlank(newcomer);
}

/** A founding host starts with its disk as it was; later ones hold their identity on the disk too. */
async function startAgain({ cluster }: Bed, host: string): Promise<void> {
  if (hosts.includes(host)) await cluster.start(host);
  else await cluster.startBlank(host);
}

async function publish(model: Model, host: string): Promise<void> {
  const node = model.bed.cluster.findNode(host);
  if (node === undefined) return;
  model.version += 1;
  const { version } = model;
  const reply = await settleWithin(
    model.bed.timers,
    node.administer({
      method: AdministrationMethod.Publish,
      publication: { version, document: String(version) },
    }),
  );
  if (reply.kind === AdministrationReplyKind.Done) model.acknowledged = version;
}

async function readEverywhere({ bed, acknowledged }: Model): Promise<void> {
  for (const node of bed.cluster.nodes()) await readAt(bed, node, acknowledged);
}

async function readAt(
  bed: Bed,
  node: ControlNode,
  acknowledged: number,
): Promise<void> {
  const reply = await settleWithin(
    bed.timers,
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

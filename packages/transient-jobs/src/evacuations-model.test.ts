/**
 * Model test: under random faults, no task starts on a worker of an evacuated data centre once a dispatcher
 * in contact with control has been in contact with its sidecar for a while, and all is in use at the end.
 */
import {
  type EvacuationState,
  isEvacuated,
  type Milliseconds,
  noEvacuations,
} from '@cranberryturn/types';
import test from 'ava';
import fc from 'fast-check';

import { getItem } from './fakes/get-item.js';
import {
  createJob,
  type FakeDispatcher,
  type FakeHost,
  type JobsFixture,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { TransientJobEndKind } from './transient-job.js';

const dispatchers = 2;
const dataCentres = ['north', 'south', 'west'];
const allPositions = [0, 1];
const stepMilliseconds = 50;
/** Time in contact after which an order has to be in force. */
const inForceMilliseconds = 1_000;
const seed = Number(process.env.MODEL_SEED ?? 20_261_204);
const runs = Number(process.env.MODEL_RUNS ?? 20);

enum Action {
  Evacuate = 'evacuate',
  Hear = 'hear',
  LoseControl = 'lose-control',
  CutOff = 'cut-off',
  Reconnect = 'reconnect',
  RestartDispatcher = 'restart-dispatcher',
  RestartSidecar = 'restart-sidecar',
  Suspend = 'suspend',
  Resume = 'resume',
  Advance = 'advance',
}

interface Step {
  readonly action: Action;
  readonly dispatcher: number;
  readonly host: number;
  readonly evacuated: readonly string[];
  readonly heardAt: readonly number[];
  readonly milliseconds: Milliseconds;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom(
    ...Object.values(Action),
    Action.Evacuate,
    Action.Advance,
    Action.Advance,
  ),
  dispatcher: fc.nat(dispatchers - 1),
  host: fc.nat(dataCentres.length - 1),
  evacuated: fc.subarray(dataCentres),
  heardAt: fc.subarray(allPositions),
  milliseconds: fc.integer({ min: 50, max: 4_000 }),
});

/** What the test knows beside the system. */
interface Model {
  readonly fixture: JobsFixture;
  latest: EvacuationState;
  /** Pairs of sidecar and dispatcher that cannot reach each other. */
  readonly cutPairs: Set<string>;
  readonly suspended: Set<FakeHost>;
  /** Since when each host has been in contact with the latest state, and its starts when that was in force. */
  readonly contacts: Map<FakeHost, { since: Milliseconds; starts: number }>;
  readonly startsInForce: string[];
}

test('no task starts in an evacuated data centre under any sequence of faults', async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 5, maxLength: 30 }),
      async steps => {
        const model = await startModel();
        for (const step of steps) {
          await applyStep(model, step);
          await advance(model, stepMilliseconds);
        }
        await checkRecovery(model);
        const faults = [...model.startsInForce, ...model.fixture.violations];
        if (faults.length > 0) throw new Error(faults.join('\n'));
      },
    ),
    // Shrinking replays a sequence hundreds of times, beyond the time limit of a test.
    { seed, numRuns: runs, endOnFailure: true },
  );
  t.pass();
});

async function startModel(): Promise<Model> {
  const fixture = await startJobsFixture({
    dispatchers,
    workers: dataCentres.length,
    processors: 4,
    dataCentres,
  });
  return {
    fixture,
    latest: noEvacuations,
    cutPairs: new Set(),
    suspended: new Set(),
    contacts: new Map(),
    startsInForce: [],
  };
}

async function applyStep(model: Model, step: Step): Promise<void> {
  const { fixture, cutPairs, suspended } = model;
  const host = getItem(fixture.hosts, step.host);
  const dispatcher = getItem(fixture.dispatchers, step.dispatcher);
  switch (step.action) {
    case Action.Evacuate:
      model.latest = fixture.evacuate(step.evacuated, step.heardAt);
      model.contacts.clear();
      return;
    case Action.Hear:
      dispatcher.hear(model.latest);
      return;
    case Action.LoseControl:
      dispatcher.control.isProved = false;
      return;
    case Action.CutOff:
      cutPairs.add(composePair(host, dispatcher));
      fixture.network.partition(host.name, dispatcher.name);
      return;
    case Action.Reconnect:
      reconnect(model, host, dispatcher);
      return;
    case Action.RestartDispatcher:
      await dispatcher.restart();
      return;
    case Action.RestartSidecar:
      await host.restartSidecar();
      suspended.delete(host);
      model.contacts.delete(host);
      return;
    case Action.Suspend:
      suspended.add(host);
      host.suspension.suspend();
      return;
    case Action.Resume:
      suspended.delete(host);
      host.suspension.resume();
      return;
    case Action.Advance:
      await advance(model, step.milliseconds);
  }
}

function composePair(host: FakeHost, dispatcher: FakeDispatcher): string {
  return `${host.name} ${dispatcher.name}`;
}

function reconnect(
  { fixture: { network }, cutPairs }: Model,
  host: FakeHost,
  dispatcher: FakeDispatcher,
): void {
  cutPairs.delete(composePair(host, dispatcher));
  network.heal(host.name, dispatcher.name);
  for (const connection of network.connections) {
    const isOfPair =
      connection.from === host.name && connection.to === dispatcher.name;
    if (isOfPair) connection.disconnect();
  }
}

/** Moves time forward under load, and checks the starts. */
async function advance(
  model: Model,
  milliseconds: Milliseconds,
): Promise<void> {
  const { timers, dispatchers: all, hosts } = model.fixture;
  for (let waited = 0; waited < milliseconds; waited += stepMilliseconds) {
    for (const { jobs, name } of all)
      jobs.submit(createJob(`${name}-${String(timers.now())}`, 2));
    await timers.advance(stepMilliseconds);
    for (const host of hosts) checkHost(model, host, timers.now());
  }
}

function checkHost(model: Model, host: FakeHost, now: Milliseconds): void {
  const { latest, contacts } = model;
  const { worker } = host;
  const mayStart = !isEvacuated(latest, worker.run.dataCentre);
  if (mayStart || !isInContact(model, host)) {
    contacts.delete(host);
    return;
  }
  const starts = worker.starts.length;
  const contact = contacts.get(host) ?? { since: now, starts };
  contacts.set(host, contact);
  if (now - contact.since > inForceMilliseconds && starts > contact.starts) {
    model.startsInForce.push(
      `${host.name} started a run ${String(now - contact.since)} ms after it was in contact with version ${String(latest.version)}`,
    );
  }
  contact.starts = starts;
}

/** Whether a dispatcher that knows the latest state from control is connected with the sidecar. */
function isInContact(
  { fixture, latest, cutPairs, suspended }: Model,
  host: FakeHost,
): boolean {
  if (suspended.has(host)) return false;
  const connected = new Set(
    host.gate.listSessions().map(({ dispatcherId }) => dispatcherId),
  );
  return fixture.dispatchers.some(
    dispatcher =>
      connected.has(dispatcher.name) &&
      !cutPairs.has(composePair(host, dispatcher)) &&
      dispatcher.control.isProved &&
      dispatcher.control.state.version === latest.version,
  );
}

/** Ends all faults and evacuations; then jobs complete, and every worker starts runs again. */
async function checkRecovery(model: Model): Promise<void> {
  const { fixture } = model;
  for (const host of fixture.hosts) {
    model.suspended.delete(host);
    host.suspension.resume();
    for (const one of fixture.dispatchers) reconnect(model, host, one);
  }
  model.latest = fixture.evacuate([]);
  await advance(model, 8_000);
  const before = fixture.hosts.map(({ worker }) => worker.starts.length);
  await advance(model, 1_000);
  const idle = fixture.hosts.filter(
    ({ worker }, position) => worker.starts.length === before[position],
  );
  if (idle.length > 0)
    throw new Error(`${idle.map(({ name }) => name).join(', ')} not in use`);
  for (const { jobs, name } of fixture.dispatchers) {
    const { ended } = jobs.submit(createJob(`last-${name}`, 1));
    // Beyond the deadline of the job, so that it has ended.
    await fixture.timers.advance(6_000);
    const { kind } = await ended;
    if (kind !== TransientJobEndKind.Completed)
      throw new Error(`the last job ended as ${kind}`);
  }
}

/**
 * Model test: under random faults of callers, dispatchers, sidecars and workers, no task has two active runs and
 * no worker exceeds its capacity (docs/decisions/run-validity.md).
 */
import test from 'ava';
import fc from 'fast-check';

import { ProcessEnd } from '@cranberryturn/wire';

import {
  closeDeliveryMilliseconds,
  FakeCallers,
  ResumeOrder,
} from './fakes/fake-callers.js';
import {
  createJob,
  type JobsFixture,
  listAllDispatchers,
  startJobsFixture,
} from './fakes/jobs-fixture.js';
import { Action, applyStep, type Step } from './fakes/model-steps.js';
import { watchEndedCallers } from './fakes/watch-ended-callers.js';

const dispatchers = 2;
const workers = 3;
const jobNames = 4;
const seed = Number(process.env.MODEL_SEED ?? 20_261_203);
const runs = Number(process.env.MODEL_RUNS ?? 60);

/** All faults, and those that a sequence plays most. */
const frequentActions: readonly Action[] = [
  Action.Submit,
  Action.Submit,
  Action.Submit,
  Action.BreakCaller,
  Action.Advance,
  Action.Advance,
  Action.Advance,
];
const anyAction = fc.constantFrom(...Object.values(Action), ...frequentActions);
/** Faults around the end of all processes. */
const restartAction = fc.constantFrom(
  ...frequentActions,
  ...frequentActions,
  ...frequentActions,
  Action.KillAll,
  Action.KillAll,
  Action.KillDispatcher,
  Action.KillSidecar,
  Action.DelayOrders,
  Action.CutOff,
  Action.Reconnect,
  Action.ResetConnections,
  Action.SuspendSidecar,
  Action.ResumeSidecar,
  Action.RestartWorker,
  Action.Report,
  Action.DelayStart,
  Action.DelayRenewal,
  Action.LoseAnswer,
  Action.LoseAllStops,
);

const createStepArbitrary = (
  action: fc.Arbitrary<Action>,
): fc.Arbitrary<Step> =>
  fc.record({
    action,
    job: fc.nat(jobNames - 1),
    dispatcher: fc.nat(dispatchers - 1),
    nextDispatcher: fc.nat(dispatchers - 1),
    worker: fc.nat(workers - 1),
    milliseconds: fc.oneof(
      fc.integer({ min: 20, max: 200 }),
      fc.integer({ min: 20, max: 1_500 }),
    ),
    orderDelayMilliseconds: fc.integer({ min: 20, max: 2_500 }),
    deliveryMilliseconds: fc.constantFrom(0, 60, closeDeliveryMilliseconds),
    resumeOrder: fc.constantFrom(...Object.values(ResumeOrder)),
    processEnd: fc.constantFrom(...Object.values(ProcessEnd)),
    seed: fc.nat(),
    gapMilliseconds: fc.constantFrom(0, 1, 20),
  });

const createSequenceArbitrary = (action: fc.Arbitrary<Action>) =>
  fc.record({
    clockRate: fc.constantFrom(1, 0.98),
    /** With one for each worker, most tasks wait. */
    processors: fc.constantFrom(1, 2),
    runMilliseconds: fc.constantFrom(300, 700, 3_000),
    /** Time that a stop and the end of a lease take; the worker of the model adds up to 5 ms. */
    stopMilliseconds: fc.constantFrom(0, 20, 45),
    steps: fc.array(createStepArbitrary(action), {
      minLength: 5,
      maxLength: 40,
    }),
  });

const checkModel = test.macro(
  async (t, hasSharedQueue: boolean, action: fc.Arbitrary<Action>) => {
    const reserves = { lease: Infinity, activity: Infinity };
    await fc.assert(
      fc.asyncProperty(
        createSequenceArbitrary(action),
        async ({
          clockRate,
          processors,
          runMilliseconds,
          stopMilliseconds,
          steps,
        }) => {
          const fixture = await startJobsFixture({
            dispatchers,
            workers,
            processors,
            clockRate,
          });
          if (hasSharedQueue) await listAllDispatchers(fixture);
          const callers = new FakeCallers(fixture, createJobs());
          const seen = watchEndedCallers(fixture, callers);
          for (const step of steps) {
            for (const { worker } of fixture.hosts) {
              worker.runMilliseconds = runMilliseconds;
              worker.stopMilliseconds = stopMilliseconds;
              worker.expiryMilliseconds = stopMilliseconds;
            }
            await applyStep(fixture, callers, step);
          }
          await resumeAll(fixture, callers);
          await fixture.timers.advance(3_000);
          reserves.lease = Math.min(reserves.lease, seen.lease);
          reserves.activity = Math.min(reserves.activity, seen.activity);
          if (fixture.violations.length > 0)
            throw new Error([...new Set(fixture.violations)].join('\n'));
        },
      ),
      { seed, numRuns: runs, endOnFailure: false },
    );
    t.log('smallest reserves in ms', reserves);
    t.pass();
  },
);

for (const hasSharedQueue of [false, true]) {
  const queue = hasSharedQueue ? ' while tasks wait in a shared queue' : '';
  test(
    `no task has two active runs under any sequence of faults${queue}`,
    checkModel,
    hasSharedQueue,
    anyAction,
  );
  // A run of before the end of all processes went on beside its repetition.
  test(
    `no run outlives its caller by more than the sum when processes are killed and come back${queue}`,
    checkModel,
    hasSharedQueue,
    restartAction,
  );
}

function createJobs() {
  return Array.from({ length: jobNames }, (_, position) =>
    createJob(`job-${String(position)}`, 2, {
      step: { estimatedMilliseconds: 700 },
    }),
  );
}

async function resumeAll(
  { dispatchers: suspended, hosts }: JobsFixture,
  callers: FakeCallers,
): Promise<void> {
  for (const dispatcher of suspended)
    await callers.resume(dispatcher, ResumeOrder.TimersLast);
  for (const { suspension } of hosts) suspension.resume();
}

/**
 * Model test: under random faults of dispatchers, sidecars and workers, no task has two active runs and
 * no worker exceeds its capacity.
 */
import test from 'ava';
import fc from 'fast-check';

import type { SubmittedJob } from './transient-jobs-options.js';
import { getItem } from './fakes/get-item.js';
import {
  createJob,
  type JobsFixture,
  listAllDispatchers,
  startJobsFixture,
} from './fakes/jobs-fixture.js';

const dispatchers = 2;
const workers = 3;
const processors = 2;
const jobNames = 4;
/** Callers resubmit this long after a broken connection. */
const resendDelayMilliseconds = 1_300;
const seed = Number(process.env.MODEL_SEED ?? 20_261_203);
const runs = Number(process.env.MODEL_RUNS ?? 60);

enum Action {
  Submit = 'submit',
  Abandon = 'abandon',
  CutOff = 'cut-off',
  Reconnect = 'reconnect',
  CutDispatchers = 'cut-dispatchers',
  ReconnectDispatchers = 'reconnect-dispatchers',
  ResetConnections = 'reset-connections',
  RestartDispatcher = 'restart-dispatcher',
  RestartSidecar = 'restart-sidecar',
  RestartWorker = 'restart-worker',
  Silence = 'silence',
  DelayStart = 'delay-start',
  LoseAnswer = 'lose-answer',
  Advance = 'advance',
}

interface Step {
  readonly action: Action;
  readonly job: number;
  readonly dispatcher: number;
  readonly worker: number;
  readonly milliseconds: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom(
    ...Object.values(Action),
    Action.Submit,
    Action.Submit,
    Action.Advance,
  ),
  job: fc.nat(jobNames - 1),
  dispatcher: fc.nat(dispatchers - 1),
  worker: fc.nat(workers - 1),
  milliseconds: fc.integer({ min: 20, max: 1_500 }),
});

/** State of the caller of one job. */
interface CallerState {
  submitted: SubmittedJob | undefined;
  dispatcher: number;
  /** Earliest time at which the caller may submit the job again. */
  mayResendAt: number;
}

const checkModel = test.macro(async (t, hasSharedQueue: boolean) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 5, maxLength: 40 }),
      async steps => {
        const fixture = await startJobsFixture({
          dispatchers,
          workers,
          processors,
        });
        if (hasSharedQueue) await listAllDispatchers(fixture);
        for (const { worker } of fixture.hosts) worker.runMilliseconds = 700;
        const callers = Array.from({ length: jobNames }, (): CallerState => ({
          submitted: undefined,
          dispatcher: 0,
          mayResendAt: 0,
        }));
        for (const step of steps) await applyStep(fixture, callers, step);
        await fixture.timers.advance(3_000);
        if (fixture.violations.length > 0)
          throw new Error(fixture.violations.join('\n'));
      },
    ),
    { seed, numRuns: runs, endOnFailure: false },
  );
  t.pass();
});

test(
  'no task has two active runs under any sequence of faults',
  checkModel,
  false,
);
test(
  'no task has two active runs under any sequence of faults while tasks wait in a shared queue',
  checkModel,
  true,
);

async function applyStep(
  fixture: JobsFixture,
  callers: readonly CallerState[],
  step: Step,
): Promise<void> {
  const { timers, network, hosts } = fixture;
  const host = getItem(hosts, step.worker);
  const dispatcher = getItem(fixture.dispatchers, step.dispatcher);
  const caller = getItem(callers, step.job);
  switch (step.action) {
    case Action.Submit:
      submit(fixture, caller, step);
      break;
    case Action.Abandon:
      breakCallerConnection(fixture, caller);
      break;
    case Action.CutOff:
      network.partition(host.name, dispatcher.name);
      break;
    case Action.Reconnect:
      network.heal(host.name, dispatcher.name);
      break;
    case Action.CutDispatchers:
      network.partition('dispatcher-0', 'dispatcher-1');
      break;
    case Action.ReconnectDispatchers:
      network.heal('dispatcher-0', 'dispatcher-1');
      break;
    case Action.ResetConnections:
      for (const connection of network.connections) {
        if (connection.from === host.name) connection.disconnect();
      }
      break;
    case Action.RestartDispatcher:
      for (const one of callers) {
        if (one.dispatcher === step.dispatcher)
          breakCallerConnection(fixture, one, false);
      }
      await dispatcher.restart();
      break;
    case Action.RestartSidecar:
      await host.restartSidecar();
      break;
    case Action.RestartWorker:
      host.restartWorker();
      break;
    case Action.Silence:
      host.worker.isSilent = !host.worker.isSilent;
      break;
    case Action.DelayStart:
      host.worker.nextStartDelayMilliseconds = step.milliseconds + 2_000;
      break;
    case Action.LoseAnswer:
      host.worker.shouldLoseNextReply = true;
      break;
    case Action.Advance:
      await timers.advance(step.milliseconds);
      break;
  }
  await timers.advance(20);
}

function submit(fixture: JobsFixture, caller: CallerState, step: Step): void {
  if (caller.submitted !== undefined) return;
  if (fixture.timers.now() < caller.mayResendAt) return;
  const { jobs } = getItem(fixture.dispatchers, step.dispatcher);
  const submitted = jobs.submit(
    createJob(`job-${String(step.job)}`, 2, {
      step: { estimatedMilliseconds: 700 },
    }),
  );
  caller.submitted = submitted;
  caller.dispatcher = step.dispatcher;
  void submitted.ended.then(() => {
    if (caller.submitted !== submitted) return;
    caller.submitted = undefined;
    // The answer may be lost on its way to the caller, who then submits the job again.
    caller.mayResendAt = fixture.timers.now() + resendDelayMilliseconds;
  });
}

/** Breaks the connection of a caller. The dispatcher is not notified when it has crashed itself (`isNoticed` false). */
function breakCallerConnection(
  fixture: JobsFixture,
  caller: CallerState,
  isNoticed = true,
): void {
  const { submitted } = caller;
  if (submitted === undefined) return;
  caller.submitted = undefined;
  caller.mayResendAt = fixture.timers.now() + resendDelayMilliseconds;
  if (isNoticed) submitted.abandon();
}

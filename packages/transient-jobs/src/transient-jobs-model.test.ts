/**
 * Model test: under random faults of callers, dispatchers, sidecars and workers, no task has two active runs and
 * no worker exceeds its capacity (docs/decisions/run-validity.md).
 */
import test from 'ava';
import fc from 'fast-check';

import {
  closeDeliveryMilliseconds,
  FakeCallers,
  resumeInOrder,
  ResumeOrder,
} from './fakes/fake-callers.js';
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
const seed = Number(process.env.MODEL_SEED ?? 20_261_203);
const runs = Number(process.env.MODEL_RUNS ?? 60);

enum Action {
  Submit = 'submit',
  BreakCaller = 'break-caller',
  CutOff = 'cut-off',
  Reconnect = 'reconnect',
  CutDispatchers = 'cut-dispatchers',
  ReconnectDispatchers = 'reconnect-dispatchers',
  ResetConnections = 'reset-connections',
  SuspendDispatcher = 'suspend-dispatcher',
  ResumeDispatcher = 'resume-dispatcher',
  RestartDispatcher = 'restart-dispatcher',
  SuspendSidecar = 'suspend-sidecar',
  ResumeSidecar = 'resume-sidecar',
  RestartSidecar = 'restart-sidecar',
  RestartWorker = 'restart-worker',
  RestartUnnoticed = 'restart-unnoticed',
  Report = 'report',
  ReportOther = 'report-other',
  Leave = 'leave',
  Silence = 'silence',
  DelayStart = 'delay-start',
  DelayStop = 'delay-stop',
  DelayRenewal = 'delay-renewal',
  LoseAnswer = 'lose-answer',
  LoseAllAnswers = 'lose-all-answers',
  LoseStop = 'lose-stop',
  LoseAllStops = 'lose-all-stops',
  LoseRenewals = 'lose-renewals',
  Advance = 'advance',
}

interface Step {
  readonly action: Action;
  readonly job: number;
  readonly dispatcher: number;
  /** Dispatcher to which a caller submits its job again. */
  readonly nextDispatcher: number;
  readonly worker: number;
  readonly milliseconds: number;
  /** Delay of an order to a worker. */
  readonly orderDelayMilliseconds: number;
  /** Time until the close of a connection reaches the host of its dispatcher. */
  readonly deliveryMilliseconds: number;
  readonly resumeOrder: ResumeOrder;
  /** Time until the next step. */
  readonly gapMilliseconds: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  action: fc.constantFrom(
    ...Object.values(Action),
    Action.Submit,
    Action.Submit,
    Action.Submit,
    Action.BreakCaller,
    Action.Advance,
    Action.Advance,
    Action.Advance,
  ),
  job: fc.nat(jobNames - 1),
  dispatcher: fc.nat(dispatchers - 1),
  nextDispatcher: fc.nat(dispatchers - 1),
  worker: fc.nat(workers - 1),
  milliseconds: fc.integer({ min: 20, max: 1_500 }),
  orderDelayMilliseconds: fc.integer({ min: 20, max: 2_500 }),
  deliveryMilliseconds: fc.constantFrom(0, 60, closeDeliveryMilliseconds),
  resumeOrder: fc.constantFrom(...Object.values(ResumeOrder)),
  gapMilliseconds: fc.constantFrom(0, 1, 20),
});

const sequenceArbitrary = fc.record({
  clockRate: fc.constantFrom(1, 0.98),
  runMilliseconds: fc.constantFrom(700, 3_000),
  steps: fc.array(stepArbitrary, { minLength: 5, maxLength: 40 }),
});

const checkModel = test.macro(async (t, hasSharedQueue: boolean) => {
  await fc.assert(
    fc.asyncProperty(
      sequenceArbitrary,
      async ({ clockRate, runMilliseconds, steps }) => {
        const fixture = await startJobsFixture({
          dispatchers,
          workers,
          processors,
          clockRate,
        });
        if (hasSharedQueue) await listAllDispatchers(fixture);
        const callers = new FakeCallers(fixture, createJobs());
        for (const step of steps) {
          for (const { worker } of fixture.hosts)
            worker.runMilliseconds = runMilliseconds;
          await applyStep(fixture, callers, step);
        }
        await resumeAll(fixture, callers);
        await fixture.timers.advance(3_000);
        if (fixture.violations.length > 0)
          throw new Error([...new Set(fixture.violations)].join('\n'));
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
  callers: FakeCallers,
  step: Step,
): Promise<void> {
  const { timers, network, hosts } = fixture;
  const host = getItem(hosts, step.worker);
  const { worker } = host;
  const dispatcher = getItem(fixture.dispatchers, step.dispatcher);
  const next = getItem(fixture.dispatchers, step.nextDispatcher);
  switch (step.action) {
    case Action.Submit:
      callers.submit(step.job, dispatcher);
      break;
    case Action.BreakCaller:
      callers.breakConnection(step.job, step.deliveryMilliseconds, next);
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
    case Action.SuspendDispatcher:
      callers.suspend(dispatcher);
      break;
    case Action.ResumeDispatcher:
      await callers.resume(dispatcher, step.resumeOrder);
      break;
    case Action.RestartDispatcher:
      callers.dispatcherCrashed(dispatcher, next);
      await dispatcher.restart();
      break;
    case Action.SuspendSidecar:
      host.suspension.suspend();
      break;
    case Action.ResumeSidecar:
      await resumeInOrder(host.suspension, step.resumeOrder, () => undefined);
      break;
    case Action.RestartSidecar:
      await host.restartSidecar();
      break;
    case Action.RestartWorker:
      host.restartWorker();
      break;
    case Action.RestartUnnoticed:
      host.restartUnnoticed();
      break;
    case Action.Report:
      host.report();
      break;
    case Action.ReportOther:
      host.reportOther(step.job % 2 === 0);
      break;
    case Action.Leave:
      host.gate.workerLeft(worker.run.workerId);
      break;
    case Action.Silence:
      worker.isSilent = !worker.isSilent;
      break;
    case Action.DelayStart:
      worker.nextStartDelayMilliseconds = step.orderDelayMilliseconds;
      break;
    case Action.DelayStop:
      worker.nextStopDelayMilliseconds = step.orderDelayMilliseconds;
      break;
    case Action.DelayRenewal:
      worker.nextRenewalDelayMilliseconds = step.orderDelayMilliseconds;
      break;
    case Action.LoseAnswer:
      worker.shouldLoseNextReply = true;
      break;
    case Action.LoseAllAnswers:
      worker.losesReplies = !worker.losesReplies;
      break;
    case Action.LoseStop:
      worker.shouldLoseNextStop = true;
      break;
    case Action.LoseAllStops:
      worker.stopsToLose = worker.stopsToLose > 0 ? 0 : Infinity;
      break;
    case Action.LoseRenewals:
      worker.loseWaitingRenewals();
      break;
    case Action.Advance:
      await timers.advance(step.milliseconds);
      break;
  }
  await timers.advance(step.gapMilliseconds);
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

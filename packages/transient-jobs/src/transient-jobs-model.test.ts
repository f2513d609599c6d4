/** Random faults over dispatchers, sidecars and workers: no task is at work twice, no worker is overfilled. */
import test from 'ava';
import fc from 'fast-check';

import type { SubmittedJob } from './transient-jobs-options.js';
import {
  describeJob,
  type JobsFixture,
  pick,
  startJobsFixture,
} from './fakes/jobs-fixture.js';

const dispatchers = 2;
const workers = 3;
const processors = 2;
const jobNames = 4;
/** Callers come back this long after a broken connection. */
const resendMilliseconds = 1_300;
const seed = Number(process.env.MODEL_SEED ?? 20_261_203);
const runs = Number(process.env.MODEL_RUNS ?? 60);

enum Fault {
  Submit = 'submit',
  Leave = 'leave',
  CutOff = 'cut-off',
  Reconnect = 'reconnect',
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
  readonly fault: Fault;
  readonly job: number;
  readonly dispatcher: number;
  readonly worker: number;
  readonly milliseconds: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  fault: fc.constantFrom(
    ...Object.values(Fault),
    Fault.Submit,
    Fault.Submit,
    Fault.Advance,
  ),
  job: fc.nat(jobNames - 1),
  dispatcher: fc.nat(dispatchers - 1),
  worker: fc.nat(workers - 1),
  milliseconds: fc.integer({ min: 20, max: 1_500 }),
});

/** What the caller of one job knows. */
interface CallerOfJob {
  submitted: SubmittedJob | undefined;
  dispatcher: number;
  /** It may send the job again from this time on. */
  mayResendAt: number;
}

test('no task is at work twice, whatever fails', async t => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(stepArbitrary, { minLength: 5, maxLength: 40 }),
      async steps => {
        const fixture = await startJobsFixture({
          dispatchers,
          workers,
          processors,
        });
        for (const { worker } of fixture.hosts) worker.runMilliseconds = 700;
        const callers = Array.from({ length: jobNames }, (): CallerOfJob => ({
          submitted: undefined,
          dispatcher: 0,
          mayResendAt: 0,
        }));
        for (const step of steps) await apply(fixture, callers, step);
        await fixture.timers.advance(3_000);
        if (fixture.violations.length > 0)
          throw new Error(fixture.violations.join('\n'));
      },
    ),
    { seed, numRuns: runs, endOnFailure: false },
  );
  t.pass();
});

async function apply(
  fixture: JobsFixture,
  callers: readonly CallerOfJob[],
  step: Step,
): Promise<void> {
  const { timers, network, hosts } = fixture;
  const host = pick(hosts, step.worker);
  const dispatcher = pick(fixture.dispatchers, step.dispatcher);
  const caller = pick(callers, step.job);
  switch (step.fault) {
    case Fault.Submit:
      submit(fixture, caller, step);
      break;
    case Fault.Leave:
      leave(fixture, caller);
      break;
    case Fault.CutOff:
      network.cutOff(host.name, dispatcher.name);
      break;
    case Fault.Reconnect:
      network.reconnect(host.name, dispatcher.name);
      break;
    case Fault.ResetConnections:
      for (const connection of network.connections) {
        if (connection.from === host.name) connection.cut();
      }
      break;
    case Fault.RestartDispatcher:
      for (const one of callers) {
        if (one.dispatcher === step.dispatcher) leave(fixture, one, false);
      }
      await dispatcher.restart();
      break;
    case Fault.RestartSidecar:
      await host.restartSidecar();
      break;
    case Fault.RestartWorker:
      host.restartWorker();
      break;
    case Fault.Silence:
      host.worker.isSilent = !host.worker.isSilent;
      break;
    case Fault.DelayStart:
      host.worker.nextStartDelayMilliseconds = step.milliseconds + 2_000;
      break;
    case Fault.LoseAnswer:
      host.worker.shouldLoseNextReply = true;
      break;
    case Fault.Advance:
      await timers.advance(step.milliseconds);
      break;
  }
  await timers.advance(20);
}

function submit(fixture: JobsFixture, caller: CallerOfJob, step: Step): void {
  if (caller.submitted !== undefined) return;
  if (fixture.timers.now() < caller.mayResendAt) return;
  const { jobs } = pick(fixture.dispatchers, step.dispatcher);
  const submitted = jobs.submit(
    describeJob(`job-${String(step.job)}`, 2, {
      step: { estimatedMilliseconds: 700 },
    }),
  );
  caller.submitted = submitted;
  caller.dispatcher = step.dispatcher;
  void submitted.ended.then(() => {
    if (caller.submitted !== submitted) return;
    caller.submitted = undefined;
    // The answer may be lost, and the job is then sent again.
    caller.mayResendAt = fixture.timers.now() + resendMilliseconds;
  });
}

/** The connection of the caller breaks; the dispatcher notices it unless it is gone itself. */
function leave(
  fixture: JobsFixture,
  caller: CallerOfJob,
  isNoticed = true,
): void {
  const { submitted } = caller;
  if (submitted === undefined) return;
  caller.submitted = undefined;
  caller.mayResendAt = fixture.timers.now() + resendMilliseconds;
  if (isNoticed) submitted.abandon();
}

/** Runs one case of a load measurement on the real roles over loopback. */
import { TargetFaultKind } from '@cranberryturn/stand-ins';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import { createRandomScheduler } from '../baseline/create-random-scheduler.js';
import { checkDecisions } from '../checker/check-decisions.js';
import { defaultCheckOptions, type Violation } from '../checker/violation.js';
import { createHttpJobClient } from '../load/create-http-job-client.js';
import { type JobClient, SubmissionOutcome } from '../load/job-client.js';
import { type LoadPlan, planLoad } from '../load/plan-load.js';
import { type CompletedSubmission, runLoad } from '../load/run-load.js';
import { scaleLoad } from '../load/scale-load.js';
import {
  type LoadSummary,
  toObservedReplies,
  summarizeLoad,
} from '../load/summarize-load.js';
import {
  type BenchSystem,
  startBenchSystem,
} from '../system/start-bench-system.js';
import {
  compareMessages,
  type MessageSummary,
  readMessages,
} from './count-messages.js';
import { readWhenQuiet } from './read-when-quiet.js';
import {
  composeLoadOptions,
  type LoadCase,
  LoadEvent,
  measuredLoadFraction,
  Policy,
} from './load-case.js';

/** Result of one case, as saved in result files. */
export interface LoadCaseResult {
  readonly deployment: string;
  readonly event: LoadEvent;
  readonly policy: Policy;
  readonly seed: number;
  readonly load: LoadSummary;
  readonly messages: MessageSummary;
  /** Processor time per task of all roles, targets and callers together. */
  readonly processorMillisecondsPerTask: Milliseconds;
  readonly violations: readonly Violation[];
}

const dispatchers = 2;
const warmUpMilliseconds: Milliseconds = 2_000;
const affectedWorker = 0;
const slowFactor = 10;
const microsecondsPerMillisecond = 1_000;

/** Starts a system, warms it up, runs the load and checks every invariant. Stops the system afterwards. */
export async function measureLoadCase(
  loadCase: LoadCase,
  timers: TimerService,
): Promise<LoadCaseResult> {
  const { shape, seed, event, policy } = loadCase;
  const system = await startBenchSystem({
    shape,
    dispatchers,
    seed,
    timers,
    createScheduler:
      policy === Policy.Random ? createRandomScheduler : undefined,
  });
  const client = createHttpJobClient({
    urls: system.urls,
    getToken: system.getToken,
  });
  const warmUp = await runWarmUp(loadCase, client, timers);
  const before = readMessages(system);
  const processor = process.cpuUsage();
  const plan = composePlan(loadCase);
  const eventApplied = applyEvent(loadCase, system, timers);
  // Read before the last jobs fail at their deadline: until then an idle system sends only heartbeats.
  const lastReading = readWhenQuiet(timers, () => readMessages(system));
  const submissions = await runLoad(plan, {
    client,
    timers,
    onReply: ({ reply }) => {
      if (reply.outcome === SubmissionOutcome.Complete)
        lastReading.recordEvent();
    },
  });
  const after = lastReading.finish();
  await eventApplied;
  const { user, system: kernel } = process.cpuUsage(processor);
  const summary = summarizeLoad(submissions, shape.callerDelayMilliseconds);
  const messages = compareMessages(before, after, summary.tasks);
  const violations = checkInvariants(system, [...warmUp, ...submissions]);
  await client.close();
  await system.stop();
  return {
    deployment: shape.name,
    event,
    policy,
    seed,
    load: summary,
    messages,
    processorMillisecondsPerTask:
      (user + kernel) / microsecondsPerMillisecond / summary.tasks,
    violations,
  };
}

/** Plans the load of a case. Every plan but a burst is scaled to exactly the measured fraction. */
function composePlan(loadCase: LoadCase): LoadPlan {
  const plan = planLoad(composeLoadOptions(loadCase));
  if (loadCase.event === LoadEvent.Burst) return plan;
  return scaleLoad(plan, measuredLoadFraction);
}

async function runWarmUp(
  { shape, seed }: LoadCase,
  client: JobClient,
  timers: TimerService,
): Promise<readonly CompletedSubmission[]> {
  const plan = planLoad({
    shape,
    seed,
    durationMilliseconds: warmUpMilliseconds,
    loadFraction: 0.5,
    prefix: 'warm-up',
  });
  return runLoad(plan, { client, timers });
}

async function applyEvent(
  { event, durationMilliseconds }: LoadCase,
  system: BenchSystem,
  timers: TimerService,
): Promise<void> {
  const target = system.workers[affectedWorker]?.target;
  switch (event) {
    case LoadEvent.Calm:
    case LoadEvent.Burst:
    case LoadEvent.Misdeclared:
      return;
    case LoadEvent.FailingWorker:
      target?.setFault({ kind: TargetFaultKind.FailAll });
      return;
    case LoadEvent.SlowWorker:
      target?.setFault({ kind: TargetFaultKind.Slow, factor: slowFactor });
      return;
    case LoadEvent.DeadWorker:
      await sleep(timers, durationMilliseconds / 4);
      await system.killWorker(affectedWorker);
      return;
  }
}

function checkInvariants(
  system: BenchSystem,
  submissions: readonly CompletedSubmission[],
): Violation[] {
  return checkDecisions(system.records, {
    ...defaultCheckOptions,
    startCounts: system.workers.flatMap(({ target }) => target.starts.list()),
    replies: toObservedReplies(submissions),
  });
}

/** The demonstration: real jobs, a planned change and a drained worker, each step checked. */
import { RolloutState } from '@cranberryturn/configuration';
import { sleep, type TimerService } from '@cranberryturn/timers';
import {
  IntentKind,
  JobOutcome,
  type Milliseconds,
} from '@cranberryturn/types';

import type { LocalRole, LocalSystem } from './start-local-system.js';
import {
  createSystemClient,
  type JobReply,
  type SubmittedJob,
  type SystemClient,
} from './system-client.js';

const tasksPerJob = 20;
const jobsUnderLoad = 8;
const changedQueueLimit = 1_500;
const pollMilliseconds: Milliseconds = 20;
const inForceTimeoutMilliseconds: Milliseconds = 10_000;

/** One step of the demonstration. */
export interface DemonstrationStep {
  readonly name: string;
  readonly detail: string;
  readonly passed: boolean;
}

interface Stage {
  readonly system: LocalSystem;
  readonly client: SystemClient;
  readonly timers: TimerService;
  readonly submitted: SubmittedJob[];
  readonly report: (step: DemonstrationStep) => void;
}

/** Runs all steps in order and reports each. Resolves with true when all passed. */
export async function runDemonstration(
  system: LocalSystem,
  timers: TimerService,
  report: (step: DemonstrationStep) => void,
): Promise<boolean> {
  let allPassed = true;
  const stage: Stage = {
    system,
    client: createSystemClient(system),
    timers,
    submitted: [],
    report: step => {
      allPassed &&= step.passed;
      report(step);
    },
  };
  const services = [...new Set(system.workers.map(worker => worker.service))];
  for (const [index, service] of services.entries()) {
    await answerJob(stage, service, index);
  }
  const [service = ''] = services;
  await changeLimit(stage, service);
  await drainUnderLoad(stage, service);
  countStarts(stage);
  return allPassed;
}

async function answerJob(
  stage: Stage,
  service: string,
  index: number,
): Promise<void> {
  const { client, timers } = stage;
  const [first, second] = chooseDispatchers(stage, index);
  const job = composeJob(stage, `${service}-job`, service);
  const began = timers.now();
  const reply = await client.submitJob(first, job);
  const took = Math.round(timers.now() - began);
  stage.report({
    name: `job of ${String(tasksPerJob)} tasks to ${service} through ${first.name}`,
    detail: `${describeReply(reply)} in ${String(took)} ms`,
    passed: isWhole(job, reply),
  });
  const again = await client.submitJob(second, job);
  stage.report({
    name: `the same job again through ${second.name}`,
    detail: describeReply(again),
    passed:
      isWhole(job, again) &&
      JSON.stringify(again.answers) === JSON.stringify(reply.answers),
  });
}

async function changeLimit(stage: Stage, service: string): Promise<void> {
  const { client } = stage;
  const before = await client.readStatus();
  const plan = await client.planChange({
    kind: IntentKind.SetLimit,
    service,
    queueLimit: changedQueueLimit,
  });
  const between = await client.readStatus();
  stage.report({
    name: `plan: queue limit of ${service} to ${String(changedQueueLimit)}`,
    detail: plan.effects.map(effect => effect.sentence).join(' '),
    passed: between.configurationVersion === before.configurationVersion,
  });
  const { version } = await client.confirmPlan(plan.planId);
  const took = await waitUntilInForce(stage, version);
  const after = await client.readStatus();
  const limit = after.services.find(entry => entry.service === service);
  stage.report({
    name: `confirm: version ${String(version)}`,
    detail: describeInForce(took),
    passed:
      took !== undefined &&
      version === before.configurationVersion + 1 &&
      limit?.queueLimit === changedQueueLimit,
  });
}

async function drainUnderLoad(stage: Stage, service: string): Promise<void> {
  const { client, system } = stage;
  const worker = system.workers.find(entry => entry.service === service);
  if (worker === undefined) return;
  const { targetId, target } = worker;
  const early = submitLoad(stage, service, 'before');
  const plan = await client.planChange({
    kind: IntentKind.DrainWorker,
    targetId,
  });
  const { version } = await client.confirmPlan(plan.planId);
  const took = await waitUntilInForce(stage, version);
  const startsWhenDrained = target.starts.total();
  const late = submitLoad(stage, service, 'after');
  const results = await Promise.all([...early, ...late]);
  const whole = results.filter(result => result.whole).length;
  const lateStarts = target.starts.total() - startsWhenDrained;
  stage.report({
    name: `drain ${targetId} under load`,
    detail: `${describeInForce(took)}; ${String(lateStarts)} starts there since`,
    passed: took !== undefined && lateStarts === 0,
  });
  stage.report({
    name: `${String(results.length)} jobs during the drain`,
    detail: `${String(whole)} answered whole`,
    passed: whole === results.length,
  });
}

function submitLoad(stage: Stage, service: string, label: string) {
  return Array.from({ length: jobsUnderLoad }, async (_, index) => {
    const [dispatcher] = chooseDispatchers(stage, index);
    const name = `${service}-${label}-${String(index + 1)}`;
    const job = composeJob(stage, name, service);
    const reply = await stage.client.submitJob(dispatcher, job);
    return { whole: isWhole(job, reply) };
  });
}

function countStarts({ system, submitted, report }: Stage): void {
  const starts = system.workers.flatMap(worker => worker.target.starts.list());
  const total = starts.reduce((sum, entry) => sum + entry.starts, 0);
  const distinct = new Set(
    starts.map(({ jobId, taskId }) => JSON.stringify([jobId, taskId])),
  ).size;
  const tasks = submitted.reduce((sum, job) => sum + job.taskIds.length, 0);
  report({
    name: 'starts counted by the stand-in targets',
    detail: `${String(total)} starts of ${String(distinct)} tasks; ${String(tasks)} tasks submitted`,
    passed: total === tasks && distinct === tasks,
  });
}

async function waitUntilInForce(
  { client, timers }: Stage,
  version: number,
): Promise<Milliseconds | undefined> {
  const began = timers.now();
  while (timers.now() - began < inForceTimeoutMilliseconds) {
    const status = await client.readStatus();
    const reached = status.dispatchers.every(
      entry =>
        entry.state === RolloutState.InForce &&
        (entry.configurationVersion ?? 0) >= version,
    );
    if (reached) return timers.now() - began;
    await sleep(timers, pollMilliseconds);
  }
  return undefined;
}

function describeInForce(took: Milliseconds | undefined): string {
  return took === undefined
    ? 'not in force in time'
    : `in force everywhere after ${String(Math.round(took))} ms`;
}

function composeJob(
  { submitted }: Stage,
  jobId: string,
  service: string,
): SubmittedJob {
  const taskIds = Array.from(
    { length: tasksPerJob },
    (_, index) => `task-${String(index + 1)}`,
  );
  const job = { jobId, service, taskIds };
  submitted.push(job);
  return job;
}

/** Two different dispatchers, starting with another one for each index. */
function chooseDispatchers(
  { system }: Stage,
  index: number,
): readonly [LocalRole, LocalRole] {
  const { dispatchers } = system;
  const first = dispatchers[index % dispatchers.length];
  const second = dispatchers[(index + 1) % dispatchers.length];
  if (first === undefined || second === undefined || first === second) {
    throw new RangeError('The demonstration needs two dispatchers.');
  }
  return [first, second];
}

/** Whether the reply holds the answer of each task, in the order asked. */
function isWhole(job: SubmittedJob, reply: JobReply): boolean {
  const answers = reply.answers ?? [];
  return (
    reply.outcome === JobOutcome.Complete &&
    answers.length === job.taskIds.length &&
    job.taskIds.every((taskId, index) => {
      const entry = answers[index];
      return entry?.taskId === taskId && entry.answer.taskId === taskId;
    })
  );
}

function describeReply(reply: JobReply): string {
  const { status, outcome, answers, reason } = reply;
  if (answers !== undefined) {
    return `${String(status)} ${outcome ?? ''}, ${String(answers.length)} answers`;
  }
  return `${String(status)} ${outcome ?? 'refused'}: ${reason ?? 'no reason'}`;
}

/** Submits jobs, applies a configuration change and drains a worker, and checks each step. */
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

/** Result of one step of the demonstration. */
export interface DemonstrationStep {
  readonly name: string;
  readonly detail: string;
  readonly passed: boolean;
}

interface DemonstrationContext {
  readonly system: LocalSystem;
  readonly client: SystemClient;
  readonly timers: TimerService;
  readonly submitted: SubmittedJob[];
  readonly report: (step: DemonstrationStep) => void;
}

/** Runs all steps in order and reports each. Resolves with true if all passed. */
export async function runDemonstration(
  system: LocalSystem,
  timers: TimerService,
  report: (step: DemonstrationStep) => void,
): Promise<boolean> {
  let allPassed = true;
  const context: DemonstrationContext = {
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
    await submitJobTwice(context, service, index);
  }
  const [service = ''] = services;
  await changeQueueLimit(context, service);
  await drainWorkerUnderLoad(context, service);
  checkStartCounts(context);
  return allPassed;
}

async function submitJobTwice(
  context: DemonstrationContext,
  service: string,
  index: number,
): Promise<void> {
  const { client, timers } = context;
  const [first, second] = chooseDispatchers(context, index);
  const job = createJob(context, `${service}-job`, service);
  const startedAt = timers.now();
  const reply = await client.submitJob(first, job);
  const elapsedMilliseconds = Math.round(timers.now() - startedAt);
  context.report({
    name: `job of ${String(tasksPerJob)} tasks to ${service} through ${first.name}`,
    detail: `${describeReply(reply)} in ${String(elapsedMilliseconds)} ms`,
    passed: isCompleteReply(job, reply),
  });
  const resubmission = await client.submitJob(second, job);
  context.report({
    name: `the same job again through ${second.name}`,
    detail: describeReply(resubmission),
    passed:
      isCompleteReply(job, resubmission) &&
      JSON.stringify(resubmission.answers) === JSON.stringify(reply.answers),
  });
}

async function changeQueueLimit(
  context: DemonstrationContext,
  service: string,
): Promise<void> {
  const { client } = context;
  const statusBefore = await client.readStatus();
  const plan = await client.planChange({
    kind: IntentKind.SetLimit,
    service,
    queueLimit: changedQueueLimit,
  });
  const statusAfterPlan = await client.readStatus();
  context.report({
    name: `plan: queue limit of ${service} to ${String(changedQueueLimit)}`,
    detail: plan.effects.map(effect => effect.sentence).join(' '),
    passed:
      statusAfterPlan.configurationVersion ===
      statusBefore.configurationVersion,
  });
  const { version } = await client.confirmPlan(plan.planId);
  const elapsedMilliseconds = await waitUntilInForce(context, version);
  const statusAfter = await client.readStatus();
  const changedService = statusAfter.services.find(
    entry => entry.service === service,
  );
  context.report({
    name: `confirm: version ${String(version)}`,
    detail: describeInForce(elapsedMilliseconds),
    passed:
      elapsedMilliseconds !== undefined &&
      version === statusBefore.configurationVersion + 1 &&
      changedService?.queueLimit === changedQueueLimit,
  });
}

async function drainWorkerUnderLoad(
  context: DemonstrationContext,
  service: string,
): Promise<void> {
  const { client, system } = context;
  const worker = system.workers.find(entry => entry.service === service);
  if (worker === undefined) return;
  const { targetId, target } = worker;
  const jobsBeforeDrain = submitLoadJobs(context, service, 'before');
  const plan = await client.planChange({
    kind: IntentKind.DrainWorker,
    targetId,
  });
  const { version } = await client.confirmPlan(plan.planId);
  const elapsedMilliseconds = await waitUntilInForce(context, version);
  const startsWhenDrained = target.starts.total();
  const jobsAfterDrain = submitLoadJobs(context, service, 'after');
  const replies = await Promise.all([...jobsBeforeDrain, ...jobsAfterDrain]);
  const completeReplies = replies.filter(result => result.isComplete).length;
  const startsAfterDrain = target.starts.total() - startsWhenDrained;
  context.report({
    name: `drain ${targetId} under load`,
    detail: `${describeInForce(elapsedMilliseconds)}; ${String(startsAfterDrain)} starts on this worker afterwards`,
    passed: elapsedMilliseconds !== undefined && startsAfterDrain === 0,
  });
  context.report({
    name: `${String(replies.length)} jobs during the drain`,
    detail: `${String(completeReplies)} answered completely`,
    passed: completeReplies === replies.length,
  });
}

function submitLoadJobs(
  context: DemonstrationContext,
  service: string,
  label: string,
) {
  return Array.from({ length: jobsUnderLoad }, async (_, index) => {
    const [dispatcher] = chooseDispatchers(context, index);
    const name = `${service}-${label}-${String(index + 1)}`;
    const job = createJob(context, name, service);
    const reply = await context.client.submitJob(dispatcher, job);
    return { isComplete: isCompleteReply(job, reply) };
  });
}

function checkStartCounts({
  system,
  submitted,
  report,
}: DemonstrationContext): void {
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
  { client, timers }: DemonstrationContext,
  version: number,
): Promise<Milliseconds | undefined> {
  const startedAt = timers.now();
  while (timers.now() - startedAt < inForceTimeoutMilliseconds) {
    const status = await client.readStatus();
    const isInForce = status.dispatchers.every(
      entry =>
        entry.state === RolloutState.InForce &&
        (entry.configurationVersion ?? 0) >= version,
    );
    if (isInForce) return timers.now() - startedAt;
    await sleep(timers, pollMilliseconds);
  }
  return undefined;
}

function describeInForce(
  elapsedMilliseconds: Milliseconds | undefined,
): string {
  return elapsedMilliseconds === undefined
    ? 'not in force before the timeout'
    : `in force at all dispatchers after ${String(Math.round(elapsedMilliseconds))} ms`;
}

function createJob(
  { submitted }: DemonstrationContext,
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

/** Chooses two different dispatchers and rotates them by `index`. */
function chooseDispatchers(
  { system }: DemonstrationContext,
  index: number,
): readonly [LocalRole, LocalRole] {
  const { dispatchers } = system;
  const first = dispatchers[index % dispatchers.length];
  const second = dispatchers[(index + 1) % dispatchers.length];
  if (first === undefined || second === undefined || first === second) {
    throw new RangeError('The demonstration needs at least two dispatchers.');
  }
  return [first, second];
}

/** Whether the reply holds the answer of each task, in the order of submission. */
function isCompleteReply(job: SubmittedJob, reply: JobReply): boolean {
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
  return `${String(status)} ${outcome ?? 'refused'}: ${reason ?? 'no reason given'}`;
}

/** Runs transient jobs at one dispatcher: admits, places, retries, and tells how they ended. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, Distribution, type Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import type { SessionTimes } from '@cranberryturn/sessions';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import {
  type DispatcherId,
  type JobId,
  type KnownDispatcher,
  type Milliseconds,
  type RunEnd,
  RunEndReason,
  RunOutcome,
  type TargetId,
} from '@cranberryturn/types';
import type { Connection } from '@cranberryturn/wire';

import {
  type ActiveJob,
  type ActiveTask,
  computeChain,
  createActiveJob,
  listReadyTasks,
  TaskPhase,
} from './active-job.js';
import { canEverHold, type ChosenWorker, chooseWorkers } from './choose-workers.js';
import { computeObjective, decideJob } from './decide-job.js';
import { type KnownWorker, noteDone, noteFailure, noteOrder } from './known-worker.js';
import { RunTimeEstimates } from './run-time-estimates.js';
import {
  type TransientJob,
  type TransientJobEnd,
  TransientJobEndKind,
} from './transient-job.js';
import { WorkerDirectory } from './worker-directory.js';

const replaceInterval: Milliseconds = 20;
/** Callers whose connection broke come back within this time for an answer that was sent. */
const endsKeptMilliseconds: Milliseconds = 5_000;
const stopPoll: Milliseconds = 20;

/** What the jobs need. */
export interface TransientJobsOptions {
  readonly dispatcherId: DispatcherId;
  readonly dataCentre: string;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: SessionTimes;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** How much longer a task takes away from its data. */
  readonly remoteFactor: number;
  readonly listDispatchers: () => readonly KnownDispatcher[];
}

/** A job that was submitted. */
export interface SubmittedJob {
  readonly ended: Promise<TransientJobEnd>;
  /** The caller left: a job that nobody waits for is stopped. */
  abandon(): void;
}

/** The transient jobs of one dispatcher. */
export class TransientJobs {
  readonly workers: WorkerDirectory;
  readonly #options: TransientJobsOptions;
  readonly #jobs = new Map<JobId, ActiveJob>();
  readonly #ended = new Map<JobId, TransientJobEnd>();
  /** Highest number of a run, for jobs that may be sent again. */
  readonly #earlierRuns = new Map<JobId, number>();
  readonly #runs = new Map<TargetId, Set<ActiveTask>>();
  readonly #estimates = new RunTimeEstimates();
  #stopping = false;
  /** Set while tasks wait for a worker. */
  #replacement: TimerSubscription | undefined;

  constructor(options: TransientJobsOptions) {
    this.#options = options;
    this.workers = new WorkerDirectory({
      ...options,
      runEnded: (workerId, end) => {
        this.#noteEnd(workerId, end);
      },
      workerLost: workerId => {
        this.#noteLost(workerId);
      },
      workerFound: () => {
        this.#placeAll();
      },
      hasRunsAt: workerId => (this.#runs.get(workerId)?.size ?? 0) > 0,
    });
  }

  get inFlight(): number {
    return this.#jobs.size;
  }

  isInProgress(jobId: JobId): boolean {
    return this.#jobs.has(jobId);
  }

  /** Stops a job; false when it is not in progress here. */
  cancel(jobId: JobId): boolean {
    const active = this.#jobs.get(jobId);
    if (active === undefined) return false;
    this.#end(active, { kind: TransientJobEndKind.Abandoned });
    return true;
  }

  accept(connection: Connection): void {
    this.workers.accept(connection);
  }

  /** Submits a job, or joins it when it is in progress here. */
  submit(job: TransientJob): SubmittedJob {
    const known = this.#jobs.get(job.jobId);
    if (known !== undefined) return this.#join(known);
    const earlier = this.#ended.get(job.jobId);
    if (earlier !== undefined) return settled(earlier);
    const { timers } = this.#options;
    const chain = computeChain(job, declared => this.#estimate(job, declared));
    const active = createActiveJob(
      job,
      timers.now(),
      computeObjective(job.queue, chain),
      this.#earlierRuns.get(job.jobId) ?? 0,
    );
    const placement = this.#planTasks(active);
    const refusal = this.#findRefusal(active, chain, placement);
    if (refusal !== undefined) return this.#refuse(job, refusal);
    return this.#start(active, placement);
  }

  /** Refuses new jobs from now on, and resolves when those in progress have ended or time is over. */
  async stop(grace: Milliseconds): Promise<void> {
    this.#stopping = true;
    const { timers } = this.#options;
    const giveUpAt = timers.now() + grace;
    while (this.#jobs.size > 0 && timers.now() < giveUpAt) {
      await new Promise<void>(resolve => {
        timers.after(stopPoll, resolve);
      });
    }
    for (const active of [...this.#jobs.values()]) {
      this.#end(active, {
        kind: TransientJobEndKind.GivenUp,
        reason: 'this dispatcher stops',
      });
    }
    this.#replacement?.cancel();
    this.workers.close();
  }

  #join(active: ActiveJob): SubmittedJob {
    this.#options.metrics.count(Counter.JobsJoined);
    active.callers += 1;
    return this.#describe(active);
  }

  #describe(active: ActiveJob): SubmittedJob {
    let left = false;
    return {
      ended: active.ended,
      abandon: () => {
        if (left) return;
        left = true;
        active.callers -= 1;
        if (active.callers > 0) return;
        this.#end(active, { kind: TransientJobEndKind.Abandoned });
      },
    };
  }

  #estimate(job: TransientJob, declared: Milliseconds): Milliseconds {
    return this.#estimates.estimate(job.queue.queue, declared);
  }

  #findRefusal(
    { job }: ActiveJob,
    chainMilliseconds: Milliseconds,
    placement: Placement,
  ): TransientJobEnd | undefined {
    if (this.#stopping) {
      return refuse('this dispatcher stops', stopRetry);
    }
    const workers = [...this.workers.listWorkers(job.queue.service)];
    const isPossible = job.steps.every(step =>
      workers.some(known => canEverHold(known, step)),
    );
    const refusal = decideJob({
      queue: job.queue,
      chainMilliseconds,
      deadlineMilliseconds: job.deadlineMilliseconds,
      expectedMilliseconds: placement.isWhole ? placement.expected : undefined,
      isPossible,
      hasWorkers: workers.length > 0,
    });
    if (refusal === undefined) return undefined;
    if (refusal.retryAfterMilliseconds === undefined) {
      return { kind: TransientJobEndKind.Failed, reason: refusal.reason };
    }
    return refuse(refusal.reason, refusal.retryAfterMilliseconds);
  }

  #refuse(job: TransientJob, end: TransientJobEnd): SubmittedJob {
    this.#options.metrics.count(Counter.JobsRefused);
    this.#options.logger.info('job refused', { ...describeJob(job), ...end });
    return settled(end);
  }

  #start(active: ActiveJob, placement: Placement): SubmittedJob {
    const { metrics, logger, timers } = this.#options;
    const { job } = active;
    this.#jobs.set(job.jobId, active);
    active.callers = 1;
    metrics.count(Counter.JobsAdmitted);
    logger.info('job admitted', {
      ...describeJob(job),
      tasks: active.tasks.length,
      expectedMilliseconds: Math.round(placement.expected),
      dueMilliseconds: Math.round(active.dueAt - active.admittedAt),
    });
    active.expiry = timers.after(job.deadlineMilliseconds, () => {
      this.#end(active, { kind: TransientJobEndKind.TimedOut });
    });
    for (const plan of placement.plans) this.#apply(active, plan);
    return this.#describe(active);
  }

  /** Plans where the tasks that may start now go. */
  #planTasks(active: ActiveJob): Placement {
    const plans: StepPlan[] = [];
    let expected = 0;
    let isWhole = true;
    for (const [number, tasks] of listReadyTasks(active)) {
      const plan = this.#planStep(active, number, tasks);
      const planned = plan.chosen.reduce((sum, one) => sum + one.tasks, 0);
      isWhole &&= planned === tasks.length;
      expected = Math.max(
        expected,
        ...plan.chosen.map(one => one.expectedMilliseconds),
      );
      plans.push(plan);
    }
    return { plans, expected, isWhole };
  }

  #planStep(active: ActiveJob, number: number, tasks: readonly ActiveTask[]): StepPlan {
    const { job } = active;
    const { random, timers, dataCentre, remoteFactor } = this.#options;
    const step = job.steps[number];
    if (step === undefined) return { number, tasks, chosen: [] };
    const question = {
      step,
      priority: job.queue.priority,
      estimate: this.#estimate(job, step.estimatedMilliseconds),
      tasks: tasks.length,
      dataCentre,
      remoteFactor,
      excluded: tasks[0]?.excluded ?? new Set<TargetId>(),
      placed: countPlaced(active, number),
    };
    const chosen = chooseWorkers(
      question,
      this.workers.listWorkers(job.queue.service),
      random,
      timers.now(),
    );
    return { number, tasks, chosen };
  }

  #apply(active: ActiveJob, { number, tasks, chosen }: StepPlan): void {
    let next = 0;
    for (const { known, tasks: count } of chosen) {
      const share = tasks.slice(next, next + count);
      next += count;
      this.#send(active, number, known, share);
    }
  }

  #send(
    active: ActiveJob,
    number: number,
    known: KnownWorker,
    tasks: readonly ActiveTask[],
  ): void {
    const { job } = active;
    const { timers, metrics, logger, dispatcherId } = this.#options;
    const now = timers.now();
    const step = job.steps[number];
    if (step === undefined) return;
    const estimate = this.#estimate(job, step.estimatedMilliseconds);
    for (const task of tasks) {
      task.phase = TaskPhase.Placed;
      task.run += 1;
      task.workerId = known.workerId;
      task.expectedMilliseconds = estimate;
      this.#runsAt(known.workerId).add(task);
      const { processors } = step.need;
      noteOrder(known, processors, processors * estimate, now);
    }
    metrics.count(Counter.TasksPlaced, tasks.length);
    logger.info('tasks placed', {
      requestId: job.requestId,
      jobId: job.jobId,
      worker: known.workerId,
      tasks: tasks.map(task => `${task.taskId}/${String(task.run)}`),
      free: known.load.free.processors,
      loadAgeMilliseconds: Math.round(now - known.heardAt),
    });
    this.workers.placeRuns(known.workerId, {
      jobId: job.jobId,
      requestId: job.requestId,
      dispatcher: dispatcherId,
      service: job.queue.service,
      specification: job.specification,
      need: step.need,
      priority: job.queue.priority,
      estimatedMilliseconds: Math.round(estimate),
      dueMilliseconds: Math.round(active.dueAt - now),
      remainingMilliseconds: Math.round(active.deadlineAt - now),
      tasks: tasks.map(({ taskId, run }) => ({ taskId, run })),
    });
  }

  #runsAt(workerId: TargetId): Set<ActiveTask> {
    const known = this.#runs.get(workerId);
    if (known !== undefined) return known;
    const created = new Set<ActiveTask>();
    this.#runs.set(workerId, created);
    return created;
  }

  #noteEnd(workerId: TargetId, end: RunEnd): void {
    const task = this.#findTask(workerId, end);
    if (task === undefined) return;
    this.#runsAt(workerId).delete(task);
    task.workerId = undefined;
    const known = this.#findWorker(task, workerId);
    switch (end.outcome) {
      case RunOutcome.Done:
        this.#noteDone(task, known, end);
        return;
      case RunOutcome.Failed:
        this.#noteFailed(task, workerId, known);
        return;
      case RunOutcome.Interrupted:
      case RunOutcome.NotStarted:
        this.#noteReturned(task, workerId, known, end);
    }
  }

  #findTask(workerId: TargetId, end: RunEnd): ActiveTask | undefined {
    for (const task of this.#runsAt(workerId)) {
      const isSame =
        task.taskId === end.taskId &&
        task.run === end.run &&
        task.job.job.jobId === end.jobId;
      if (isSame) return task;
    }
    return undefined;
  }

  #findWorker({ job }: ActiveTask, workerId: TargetId): KnownWorker | undefined {
    for (const known of this.workers.listWorkers(job.job.queue.service)) {
      if (known.workerId === workerId) return known;
    }
    return undefined;
  }

  #noteDone(task: ActiveTask, known: KnownWorker | undefined, end: RunEnd): void {
    const { metrics } = this.#options;
    const { queue, steps } = task.job.job;
    task.phase = TaskPhase.Done;
    metrics.record(Distribution.RunMilliseconds, end.runMilliseconds, queue.service);
    metrics.record(Distribution.QueueMilliseconds, end.waitedMilliseconds, queue.service);
    if (known !== undefined) {
      const declared = steps[task.step]?.estimatedMilliseconds ?? 0;
      this.#estimates.learn(queue.queue, declared, end.runMilliseconds, known.speed);
      noteDone(known, task.expectedMilliseconds, end.runMilliseconds);
    }
    const { job } = task;
    if (job.tasks.every(one => one.phase === TaskPhase.Done)) {
      this.#end(job, { kind: TransientJobEndKind.Completed });
      return;
    }
    this.#place(job);
  }

  #noteFailed(task: ActiveTask, workerId: TargetId, known: KnownWorker | undefined): void {
    const { job } = task;
    task.failures += 1;
    task.excluded.add(workerId);
    if (known !== undefined) noteFailure(known, this.#options.timers.now());
    if (task.failures >= job.job.queue.maximumFailures) {
      this.#end(job, {
        kind: TransientJobEndKind.Failed,
        reason: `task ${task.taskId} failed ${String(task.failures)} times`,
      });
      return;
    }
    this.#return(task);
  }

  /** The run did not end its task: it is placed again. */
  #noteReturned(
    task: ActiveTask,
    workerId: TargetId,
    known: KnownWorker | undefined,
    { reason }: RunEnd,
  ): void {
    const isRefusal =
      reason === RunEndReason.WorkerRefused || reason === RunEndReason.WorkerSilent;
    if (isRefusal && known !== undefined) {
      noteFailure(known, this.#options.timers.now());
    }
    if (reason === RunEndReason.WrongService) task.excluded.add(workerId);
    this.#return(task);
  }

  #noteLost(workerId: TargetId): void {
    const tasks = [...this.#runsAt(workerId)];
    this.#runs.delete(workerId);
    for (const task of tasks) {
      task.workerId = undefined;
      this.#return(task);
    }
  }

  #return(task: ActiveTask): void {
    if (task.job.end !== undefined) return;
    task.phase = TaskPhase.Waiting;
    this.#place(task.job);
  }

  #placeAll(): void {
    for (const active of this.#jobs.values()) this.#place(active);
  }

  #place(active: ActiveJob): void {
    if (active.end !== undefined) return;
    if (!active.tasks.some(task => task.phase === TaskPhase.Waiting)) return;
    const placement = this.#planTasks(active);
    for (const plan of placement.plans) this.#apply(active, plan);
    if (placement.isWhole) return;
    this.#replacement ??= this.#options.timers.after(replaceInterval, () => {
      this.#replacement = undefined;
      this.#placeAll();
    });
  }

  #end(active: ActiveJob, end: TransientJobEnd): void {
    if (active.end !== undefined) return;
    const { timers, metrics, logger } = this.#options;
    const { job } = active;
    active.end = end;
    active.expiry?.cancel();
    this.#jobs.delete(job.jobId);
    this.#stopRuns(active);
    const elapsed = timers.now() - active.admittedAt;
    metrics.record(Distribution.ResponseMilliseconds, elapsed, job.queue.service);
    metrics.count(chooseCounter(end));
    logger.info('job ended', {
      ...describeJob(job),
      ...end,
      elapsedMilliseconds: Math.round(elapsed),
    });
    this.#keepEnd(active, end);
    active.settle(end);
  }

  #stopRuns(active: ActiveJob): void {
    const byWorker = new Map<TargetId, ActiveTask[]>();
    for (const task of active.tasks) {
      if (task.phase !== TaskPhase.Placed || task.workerId === undefined) continue;
      byWorker.set(task.workerId, [...(byWorker.get(task.workerId) ?? []), task]);
    }
    for (const [workerId, tasks] of byWorker) {
      this.workers.stopRuns(workerId, active.job.jobId, tasks.map(task => task.taskId));
    }
  }

  #keepEnd(active: ActiveJob, end: TransientJobEnd): void {
    const { jobId } = active.job;
    const isAnswer =
      end.kind === TransientJobEndKind.Completed ||
      end.kind === TransientJobEndKind.Failed;
    if (isAnswer) this.#ended.set(jobId, end);
    this.#earlierRuns.set(jobId, Math.max(...active.tasks.map(task => task.run)));
    this.#options.timers.after(endsKeptMilliseconds, () => {
      this.#ended.delete(jobId);
      this.#earlierRuns.delete(jobId);
    });
  }
}

interface StepPlan {
  readonly number: number;
  readonly tasks: readonly ActiveTask[];
  readonly chosen: readonly ChosenWorker[];
}

interface Placement {
  readonly plans: readonly StepPlan[];
  /** Expected time until the last of the placed tasks ends. */
  readonly expected: Milliseconds;
  /** Whether all tasks that may start now are placed. */
  readonly isWhole: boolean;
}

const stopRetry: Milliseconds = 500;

function refuse(
  reason: string,
  retryAfterMilliseconds: Milliseconds | undefined,
): TransientJobEnd {
  return { kind: TransientJobEndKind.Refused, reason, retryAfterMilliseconds };
}

function settled(end: TransientJobEnd): SubmittedJob {
  return { ended: Promise.resolve(end), abandon: () => undefined };
}

function countPlaced(active: ActiveJob, step: number): ReadonlyMap<TargetId, number> {
  const placed = new Map<TargetId, number>();
  for (const task of active.tasks) {
    if (task.step !== step || task.workerId === undefined) continue;
    placed.set(task.workerId, (placed.get(task.workerId) ?? 0) + 1);
  }
  return placed;
}

function describeJob({ jobId, requestId, queue }: TransientJob) {
  return { requestId, jobId, queue: queue.queue, service: queue.service };
}

function chooseCounter({ kind }: TransientJobEnd): Counter {
  switch (kind) {
    case TransientJobEndKind.Completed:
      return Counter.JobsCompleted;
    case TransientJobEndKind.Refused:
      return Counter.JobsRefused;
    case TransientJobEndKind.Abandoned:
      return Counter.JobsCancelled;
    case TransientJobEndKind.Failed:
    case TransientJobEndKind.GivenUp:
    case TransientJobEndKind.TimedOut:
      return Counter.JobsFailed;
  }
}

/** Plans where the tasks of jobs go, and sends them there. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  Milliseconds,
  RunOrder,
  TargetId,
} from '@cranberryturn/types';

import {
  type ActiveJob,
  type ActiveTask,
  listReadyTasks,
  mostReturns,
  TaskPhase,
} from './active-job.js';
import { type ChosenWorker, chooseWorkers } from './choose-workers.js';
import type { RunTimeEstimates } from './run-time-estimates.js';
import type { RunTracker } from './run-tracker.js';
import type { JobStep } from './transient-job.js';
import type { WorkerDirectory } from './worker-directory.js';

/** What placing needs. */
export interface TaskPlacerOptions {
  readonly dispatcherId: DispatcherId;
  readonly dataCentre: string;
  /** How much longer a task takes away from its data. */
  readonly remoteFactor: number;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly workers: WorkerDirectory;
  readonly runs: RunTracker;
  readonly estimates: RunTimeEstimates;
}

/** Where the tasks of one step go. */
interface StepPlan {
  readonly step: JobStep;
  readonly tasks: readonly ActiveTask[];
  readonly estimate: Milliseconds;
  readonly chosen: readonly ChosenWorker[];
}

/** How the tasks of a step go to one worker. */
interface PlacedStep {
  readonly step: JobStep;
  readonly estimate: Milliseconds;
  readonly mayWait: boolean;
}

/** Where all tasks of a job go that may start now. */
export interface Placement {
  readonly plans: readonly StepPlan[];
  /** Longest time for which a placed task is expected to wait. */
  readonly wait: Milliseconds;
  /** Whether a worker was found for each of them. */
  readonly isWhole: boolean;
}

/** Places tasks on workers. */
export class TaskPlacer {
  readonly #options: TaskPlacerOptions;

  constructor(options: TaskPlacerOptions) {
    this.#options = options;
  }

  /** Expected run time of a task on a worker of ordinary speed. */
  estimate(
    { job }: Pick<ActiveJob, 'job'>,
    declared: Milliseconds,
  ): Milliseconds {
    return this.#options.estimates.estimate(job.queue.queue, declared);
  }

  /** Plans the tasks that may start now. */
  plan(active: ActiveJob): Placement {
    const plans: StepPlan[] = [];
    let wait = 0;
    let isWhole = true;
    for (const [number, tasks] of listReadyTasks(active)) {
      const step = active.job.steps[number];
      if (step === undefined) continue;
      const plan = this.#planStep(active, number, step, tasks);
      const planned = plan.chosen.reduce((sum, one) => sum + one.tasks, 0);
      isWhole &&= planned === tasks.length;
      wait = Math.max(wait, ...plan.chosen.map(one => one.waitMilliseconds));
      plans.push(plan);
    }
    return { plans, wait, isWhole };
  }

  /** Whether another worker than the present one, and than those where the task failed, could take it. */
  hasOtherWorker(task: ActiveTask): boolean {
    const { job, step: number, workerId } = task;
    const step = job.job.steps[number];
    if (step === undefined) return false;
    const excluded = new Set(task.excluded);
    if (workerId !== undefined) excluded.add(workerId);
    const [chosen] = this.#choose(job, number, step, 1, excluded);
    return chosen !== undefined && !excluded.has(chosen.known.workerId);
  }

  /** Sends the tasks as planned. */
  apply(active: ActiveJob, { plans }: Placement): void {
    for (const plan of plans) {
      let next = 0;
      for (const chosen of plan.chosen) {
        const tasks = plan.tasks.slice(next, next + chosen.tasks);
        this.#send(active, plan, chosen, tasks);
        next += chosen.tasks;
      }
    }
  }

  #planStep(
    active: ActiveJob,
    number: number,
    step: JobStep,
    tasks: readonly ActiveTask[],
  ): StepPlan {
    const excluded = joinExcluded(tasks);
    return {
      step,
      tasks,
      estimate: Math.round(this.estimate(active, step.estimatedMilliseconds)),
      chosen: this.#choose(active, number, step, tasks.length, excluded),
    };
  }

  #choose(
    active: ActiveJob,
    number: number,
    step: JobStep,
    tasks: number,
    excluded: ReadonlySet<TargetId>,
  ): readonly ChosenWorker[] {
    const { random, timers, dataCentre, remoteFactor, workers } = this.#options;
    const { queue } = active.job;
    return chooseWorkers(
      {
        step,
        priority: queue.priority,
        estimate: Math.round(this.estimate(active, step.estimatedMilliseconds)),
        tasks,
        dataCentre,
        remoteFactor,
        excluded,
        placed: countPlaced(active, number),
      },
      workers.listWorkers(queue.service),
      random,
      timers.now(),
    );
  }

  #send(
    active: ActiveJob,
    { step, estimate }: StepPlan,
    { known, waitMilliseconds }: ChosenWorker,
    tasks: readonly ActiveTask[],
  ): void {
    const { job } = active;
    const { timers, metrics, logger, workers, runs } = this.#options;
    const now = timers.now();
    for (const task of tasks) {
      task.phase = TaskPhase.Placed;
      task.run += 1;
      task.workerId = known.workerId;
      task.placedAt = now;
      task.expectedMilliseconds = estimate;
      task.isWaiting = waitMilliseconds > 0;
      runs.add(known.workerId, task);
    }
    const mayWait =
      waitMilliseconds > 0 ||
      tasks.some(({ returns }) => returns >= mostReturns);
    metrics.count(Counter.TasksPlaced, tasks.length);
    logger.info('tasks placed', {
      requestId: job.requestId,
      jobId: job.jobId,
      worker: known.workerId,
      runs: tasks.map(task => `${task.taskId}/${String(task.run)}`),
      free: known.load.free.processors,
      mayWait,
      loadAgeMilliseconds: Math.round(now - known.heardAt),
    });
    workers.placeRuns(
      known.workerId,
      this.#composeOrder(active, { step, estimate, mayWait }, tasks),
    );
  }

  #composeOrder(
    { job, dueAt, deadlineAt }: ActiveJob,
    { step, estimate, mayWait }: PlacedStep,
    tasks: readonly ActiveTask[],
  ): RunOrder {
    const now = this.#options.timers.now();
    return {
      jobId: job.jobId,
      requestId: job.requestId,
      dispatcher: this.#options.dispatcherId,
      service: job.queue.service,
      specification: job.specification,
      need: step.need,
      priority: job.queue.priority,
      estimatedMilliseconds: estimate,
      dueMilliseconds: Math.round(dueAt - now),
      remainingMilliseconds: Math.round(deadlineAt - now),
      mayWait,
      tasks: tasks.map(({ taskId, run }) => ({ taskId, run })),
    };
  }
}

function joinExcluded(tasks: readonly ActiveTask[]): ReadonlySet<TargetId> {
  return new Set(tasks.flatMap(task => [...task.excluded]));
}

function countPlaced(
  active: ActiveJob,
  step: number,
): ReadonlyMap<TargetId, number> {
  const placed = new Map<TargetId, number>();
  for (const task of active.tasks) {
    if (task.step !== step || task.workerId === undefined) continue;
    placed.set(task.workerId, (placed.get(task.workerId) ?? 0) + 1);
  }
  return placed;
}

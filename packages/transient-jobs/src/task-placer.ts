/** Plans the placement of tasks on workers, and sends the placement orders. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  GrantKey,
  Milliseconds,
  TargetId,
} from '@cranberryturn/types';

import {
  type ActiveJob,
  type ActiveTask,
  listReadyTasks,
  maximumReturns,
  TaskPhase,
} from './active-job.js';
import { type ChosenWorker, chooseWorkers } from './choose-workers.js';
import { composeOrder, type TaskGroup } from './compose-order.js';
import type { CrashContainment } from './crashes/crash-containment.js';
import { TaskVerdict } from './crashes/decide-task-verdict.js';
import { type KnownWorker, recordProbe } from './known-worker.js';
import type { RunTimeEstimates } from './run-time-estimates.js';
import type { RunTracker } from './run-tracker.js';
import type { ScarcitySettings } from './scarcity/scarcity-settings.js';
import type { RequestedTasks } from './shared-queue/capacity-client-options.js';
import type { WorkerDirectory } from './worker-directory.js';

/** Dependencies of the task placer. */
export interface TaskPlacerOptions {
  readonly dispatcherId: DispatcherId;
  readonly dataCentre: string;
  /** Factor by which a task runs longer on a rack without its input data. */
  readonly remoteFactor: number;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly workers: WorkerDirectory;
  readonly runs: RunTracker;
  readonly estimates: RunTimeEstimates;
  readonly containment: CrashContainment;
  /** Settings of admission under scarcity; disabled when undefined. */
  readonly scarcity?: ScarcitySettings | undefined;
}

/** Planned placement of a group of tasks. */
interface StepPlan extends TaskGroup {
  readonly estimateMilliseconds: Milliseconds;
  readonly chosen: readonly ChosenWorker[];
}

/** The part of a plan that the orders for it need. */
type SentPlan = Pick<
  StepPlan,
  'step' | 'estimateMilliseconds' | 'runsAlone'
> & {
  /** The grant that the tasks use; undefined where this dispatcher chose their worker by itself. */
  readonly grant?: GrantKey | undefined;
};

/** Planned placement of all tasks of a job that may start now. */
export interface Placement {
  readonly plans: readonly StepPlan[];
  /** Longest expected queue wait of a placed task. */
  readonly longestWaitMilliseconds: Milliseconds;
  /** Whether every task has a worker. */
  readonly isComplete: boolean;
}

/** Places the tasks of jobs on workers. */
export class TaskPlacer {
  readonly #options: TaskPlacerOptions;

  constructor(options: TaskPlacerOptions) {
    this.#options = options;
  }

  /** Expected run time of a task on a worker of average speed. */
  estimateRunTime(
    { job }: Pick<ActiveJob, 'job'>,
    declared: Milliseconds,
  ): Milliseconds {
    return this.#options.estimates.estimateRunTime(job.queue.queue, declared);
  }

  /** Plans the placement of the tasks that may start now, without sending them. */
  planJob(active: ActiveJob): Placement {
    const plans: StepPlan[] = [];
    let longestWaitMilliseconds = 0;
    let isComplete = true;
    for (const group of this.listGroups(active)) {
      const plan = this.#planGroup(active, group);
      const plannedTasks = plan.chosen.reduce((sum, one) => sum + one.tasks, 0);
      isComplete &&= plannedTasks === group.tasks.length;
      longestWaitMilliseconds = Math.max(
        longestWaitMilliseconds,
        ...plan.chosen.map(one => one.waitMilliseconds),
      );
      plans.push(plan);
    }
    return {
      plans,
      longestWaitMilliseconds,
      isComplete,
    };
  }

  /** Places tasks on a worker where capacity was granted to them. */
  placeGranted(
    { active, step, request }: RequestedTasks,
    tasks: readonly ActiveTask[],
    known: KnownWorker,
    grant: GrantKey,
  ): void {
    const estimateMilliseconds = request.estimatedMilliseconds;
    this.#sendTasks(
      active,
      { step, estimateMilliseconds, runsAlone: false, grant },
      { known, waitMilliseconds: 0 },
      tasks,
    );
  }

  /** Whether a worker other than the current and the excluded ones can take the task. */
  hasOtherWorker(task: ActiveTask): boolean {
    const { job, step: stepIndex, workerId } = task;
    const step = job.job.steps[stepIndex];
    if (step === undefined) return false;
    const excludedWorkers = new Set(task.excludedWorkers);
    if (workerId !== undefined) excludedWorkers.add(workerId);
    const [chosen] = this.#chooseWorkers(
      job,
      { stepIndex, step, tasks: [task], runsAlone: false },
      excludedWorkers,
    );
    return chosen !== undefined && !excludedWorkers.has(chosen.known.workerId);
  }

  /** Sends the planned tasks to their workers. */
  apply(active: ActiveJob, { plans }: Placement): void {
    for (const plan of plans) {
      let nextIndex = 0;
      for (const chosen of plan.chosen) {
        const tasks = plan.tasks.slice(nextIndex, nextIndex + chosen.tasks);
        this.#sendTasks(active, plan, chosen, tasks);
        nextIndex += chosen.tasks;
      }
    }
  }

  /** The tasks that may start now, by step; those to isolate are in a group of their own. */
  *listGroups(active: ActiveJob): Iterable<TaskGroup> {
    const { containment } = this.#options;
    for (const [stepIndex, ready] of listReadyTasks(active)) {
      const step = active.job.steps[stepIndex];
      if (step === undefined) continue;
      const isIsolated = (task: ActiveTask): boolean =>
        containment.judgeTask(task) === TaskVerdict.Isolated;
      const tasks = ready.filter(task => !isIsolated(task));
      if (tasks.length > 0) yield { stepIndex, step, tasks, runsAlone: false };
      const isolated = ready.filter(isIsolated);
      if (isolated.length > 0)
        yield { stepIndex, step, tasks: isolated, runsAlone: true };
    }
  }

  #planGroup(active: ActiveJob, group: TaskGroup): StepPlan {
    const excludedWorkers = collectExcludedWorkers(group.tasks);
    return {
      ...group,
      estimateMilliseconds: Math.round(
        this.estimateRunTime(active, group.step.estimatedMilliseconds),
      ),
      chosen: this.#chooseWorkers(active, group, excludedWorkers),
    };
  }

  #chooseWorkers(
    active: ActiveJob,
    { stepIndex, step, tasks }: TaskGroup,
    excludedWorkers: ReadonlySet<TargetId>,
  ): readonly ChosenWorker[] {
    const { random, timers, dataCentre, remoteFactor, workers, containment } =
      this.#options;
    const { queue } = active.job;
    return chooseWorkers(
      {
        step,
        priority: active.priority,
        estimateMilliseconds: Math.round(
          this.estimateRunTime(active, step.estimatedMilliseconds),
        ),
        tasks: tasks.length,
        dataCentre,
        remoteFactor,
        excludedWorkers,
        probesFailedWorkers: this.#options.scarcity !== undefined,
        hosts: containment.restrictHosts(active, tasks),
        placedTasks: countPlacedTasks(active, stepIndex),
      },
      workers.listWorkers(queue.service),
      random,
      timers.now(),
    );
  }

  #sendTasks(
    active: ActiveJob,
    plan: SentPlan,
    { known, waitMilliseconds }: Omit<ChosenWorker, 'tasks'>,
    tasks: readonly ActiveTask[],
  ): void {
    const { job } = active;
    const { estimateMilliseconds, runsAlone, grant } = plan;
    const { timers, metrics, logger, workers, runs } = this.#options;
    const now = timers.now();
    if (this.#options.scarcity !== undefined)
      recordProbe(known, estimateMilliseconds, now);
    active.mayHaveStarted = true;
    for (const task of tasks) {
      task.phase = TaskPhase.Placed;
      task.run += 1;
      task.workerId = known.workerId;
      task.sessionNumber = known.sessionNumber;
      task.placedAt = now;
      task.expectedMilliseconds = estimateMilliseconds;
      task.isWaiting = waitMilliseconds > 0;
      runs.addRun(known.sessionNumber, task);
    }
    const mayWait =
      runsAlone ||
      waitMilliseconds > 0 ||
      tasks.some(({ returns }) => returns >= maximumReturns);
    metrics.count(Counter.TasksPlaced, tasks.length);
    if (runsAlone) metrics.count(Counter.RunsIsolated, tasks.length);
    logger.info('tasks placed', {
      requestId: job.requestId,
      jobId: job.jobId,
      worker: known.workerId,
      runs: tasks.map(task => `${task.taskId}/${String(task.run)}`),
      processors: plan.step.need.processors,
      free: known.load.free.processors,
      mayWait,
      ...(runsAlone ? { runsAlone } : {}),
      ...grant,
      loadAgeMilliseconds: Math.round(now - known.lastHeardAt),
    });
    workers.placeRuns(
      known.workerId,
      composeOrder(
        active,
        { ...plan, mayWait, dispatcher: this.#options.dispatcherId, now },
        tasks,
      ),
    );
  }
}

function collectExcludedWorkers(
  tasks: readonly ActiveTask[],
): ReadonlySet<TargetId> {
  return new Set(tasks.flatMap(task => [...task.excludedWorkers]));
}

function countPlacedTasks(
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

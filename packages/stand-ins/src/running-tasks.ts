/** Tasks that run on a stand-in target, which the stand-in platform can stop or throttle. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { JobId, Milliseconds, TaskId } from '@cranberryturn/types';

/** How the run of a task ended. */
export enum TaskRunOutcome {
  Finished = 'finished',
  Stopped = 'stopped',
}

/** Tasks in progress on one target. */
export interface RunningTasks {
  /** Runs one task for `duration`, or until it is stopped if undefined. */
  run(
    jobId: JobId,
    taskId: TaskId,
    duration: Milliseconds | undefined,
  ): Promise<TaskRunOutcome>;
  /** Ends a task early. Returns false if the task does not run on this target. */
  stop(jobId: JobId, taskId: TaskId): boolean;
  /**
   * Makes the rest of a task take `factor` times as long. Returns false if the task does not run
   * on this target.
   */
  throttle(jobId: JobId, taskId: TaskId, factor: number): boolean;
  /** Whether the task runs on this target. */
  has(jobId: JobId, taskId: TaskId): boolean;
  count(): number;
  /** The largest number of tasks that ran at the same time. */
  peak(): number;
  stopAll(): void;
}

interface RunningTask {
  due: Milliseconds | undefined;
  timer: TimerSubscription | undefined;
  readonly end: (end: TaskRunOutcome) => void;
}

/** Creates the running tasks of one target, none at first. */
export function createRunningTasks(timers: TimerService): RunningTasks {
  const running = new Map<string, Set<RunningTask>>();
  let count = 0;
  let peak = 0;

  const removeTask = (key: string, task: RunningTask): void => {
    const tasks = running.get(key);
    if (tasks?.delete(task) !== true) return;
    if (tasks.size === 0) running.delete(key);
    task.timer?.cancel();
    count -= 1;
  };

  const schedule = (
    key: string,
    task: RunningTask,
    duration: Milliseconds,
  ): void => {
    task.due = timers.now() + duration;
    task.timer?.cancel();
    task.timer = timers.after(duration, () => {
      removeTask(key, task);
      task.end(TaskRunOutcome.Finished);
    });
  };

  const run = (
    jobId: JobId,
    taskId: TaskId,
    duration: Milliseconds | undefined,
  ): Promise<TaskRunOutcome> =>
    new Promise(resolve => {
      const key = composeTaskKey(jobId, taskId);
      const task: RunningTask = {
        due: undefined,
        timer: undefined,
        end: resolve,
      };
      const tasks = running.get(key) ?? new Set<RunningTask>();
      tasks.add(task);
      running.set(key, tasks);
      count += 1;
      peak = Math.max(peak, count);
      if (duration !== undefined) schedule(key, task, duration);
    });

  const stopByKey = (key: string): boolean => {
    const tasks = [...(running.get(key) ?? [])];
    for (const task of tasks) {
      removeTask(key, task);
      task.end(TaskRunOutcome.Stopped);
    }
    return tasks.length > 0;
  };

  const throttle = (jobId: JobId, taskId: TaskId, factor: number): boolean => {
    const key = composeTaskKey(jobId, taskId);
    const tasks = [...(running.get(key) ?? [])];
    for (const task of tasks) {
      if (task.due === undefined) continue;
      const remaining = Math.max(0, task.due - timers.now());
      schedule(key, task, remaining * factor);
    }
    return tasks.length > 0;
  };

  return {
    run,
    stop: (jobId, taskId) => stopByKey(composeTaskKey(jobId, taskId)),
    throttle,
    has: (jobId, taskId) => running.has(composeTaskKey(jobId, taskId)),
    count: () => count,
    peak: () => peak,
    stopAll: () => {
      for (const key of [...running.keys()]) stopByKey(key);
    },
  };
}

function composeTaskKey(jobId: JobId, taskId: TaskId): string {
  return JSON.stringify([jobId, taskId]);
}

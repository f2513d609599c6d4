/** Tasks that run on a stand-in target, which the stand-in platform can act on. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { JobId, Milliseconds, TaskId } from '@cranberryturn/types';

/** How a run ended. */
export enum TaskRunOutcome {
  Finished = 'finished',
  Stopped = 'stopped',
}

/** Tasks in progress on one target. */
export interface RunningTasks {
  /** Runs one task; a duration of undefined means until it is stopped. */
  run(
    jobId: JobId,
    taskId: TaskId,
    duration: Milliseconds | undefined,
  ): Promise<TaskRunOutcome>;
  /** Ends a task early. False when it does not run here. */
  stop(jobId: JobId, taskId: TaskId): boolean;
  /** Makes the rest of a task take `factor` times as long. False when it does not run here. */
  throttle(jobId: JobId, taskId: TaskId, factor: number): boolean;
  /** Whether the task runs here. */
  has(jobId: JobId, taskId: TaskId): boolean;
  count(): number;
  /** The largest number of tasks that ran at the same time. */
  peak(): number;
  /** Ends all tasks. */
  stopAll(): void;
}

interface RunningTask {
  due: Milliseconds | undefined;
  timer: TimerSubscription | undefined;
  readonly end: (end: TaskRunOutcome) => void;
}

/** Creates the record of running tasks of one target. */
export function createRunningTasks(timers: TimerService): RunningTasks {
  const running = new Map<string, Set<RunningTask>>();
  let count = 0;
  let peak = 0;

  const remove = (name: string, task: RunningTask): void => {
    const tasks = running.get(name);
    if (tasks?.delete(task) !== true) return;
    if (tasks.size === 0) running.delete(name);
    task.timer?.cancel();
    count -= 1;
  };

  const schedule = (
    name: string,
    task: RunningTask,
    duration: Milliseconds,
  ): void => {
    task.due = timers.now() + duration;
    task.timer?.cancel();
    task.timer = timers.after(duration, () => {
      remove(name, task);
      task.end(TaskRunOutcome.Finished);
    });
  };

  const run = (
    jobId: JobId,
    taskId: TaskId,
    duration: Milliseconds | undefined,
  ): Promise<TaskRunOutcome> =>
    new Promise(resolve => {
      const name = nameTask(jobId, taskId);
      const task: RunningTask = {
        due: undefined,
        timer: undefined,
        end: resolve,
      };
      const tasks = running.get(name) ?? new Set<RunningTask>();
      tasks.add(task);
      running.set(name, tasks);
      count += 1;
      peak = Math.max(peak, count);
      if (duration !== undefined) schedule(name, task, duration);
    });

  const stopNamed = (name: string): boolean => {
    const tasks = [...(running.get(name) ?? [])];
    for (const task of tasks) {
      remove(name, task);
      task.end(TaskRunOutcome.Stopped);
    }
    return tasks.length > 0;
  };

  const throttle = (jobId: JobId, taskId: TaskId, factor: number): boolean => {
    const name = nameTask(jobId, taskId);
    const tasks = [...(running.get(name) ?? [])];
    for (const task of tasks) {
      if (task.due === undefined) continue;
      const left = Math.max(0, task.due - timers.now());
      schedule(name, task, left * factor);
    }
    return tasks.length > 0;
  };

  return {
    run,
    stop: (jobId, taskId) => stopNamed(nameTask(jobId, taskId)),
    throttle,
    has: (jobId, taskId) => running.has(nameTask(jobId, taskId)),
    count: () => count,
    peak: () => peak,
    stopAll: () => {
      for (const name of [...running.keys()]) stopNamed(name);
    },
  };
}

function nameTask(jobId: JobId, taskId: TaskId): string {
  return JSON.stringify([jobId, taskId]);
}

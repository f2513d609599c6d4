/** Counts at the target, independently of the dispatchers, how often each task was started. */
import type { JobId, TargetId, TaskId } from '@cranberryturn/types';

/** How often one target started one task. */
export interface StartCount {
  readonly target: TargetId;
  readonly jobId: JobId;
  readonly taskId: TaskId;
  readonly starts: number;
}

/** Start counts of one target. */
export interface StartCounts {
  /** Counts one start and returns the number of starts of the task so far. */
  add(jobId: JobId, taskId: TaskId): number;
  list(): readonly StartCount[];
  total(): number;
}

/** Creates the start counts of one target, all zero. */
export function createStartCounts(target: TargetId): StartCounts {
  const jobs = new Map<JobId, Map<TaskId, number>>();
  let total = 0;
  return {
    add: (jobId, taskId) => {
      const tasks = jobs.get(jobId) ?? new Map<TaskId, number>();
      const starts = (tasks.get(taskId) ?? 0) + 1;
      tasks.set(taskId, starts);
      jobs.set(jobId, tasks);
      total += 1;
      return starts;
    },
    list: () =>
      [...jobs].flatMap(([jobId, tasks]) =>
        [...tasks].map(([taskId, starts]) => ({
          target,
          jobId,
          taskId,
          starts,
        })),
      ),
    total: () => total,
  };
}

/** The load of jobs that a dispatcher under measure serves. */

/** Team of all measured jobs. */
export const measuredTeam = 'measured-team';
/** Token of the team; it protects nothing. */
export const measuredToken = `cbt_${'A'.repeat(43)}`;
/** Sidecars of a dispatcher that serves jobs. */
export const busyDispatcherSidecars = 40;
/** Jobs that a caller keeps open at the same time. */
export const concurrentJobs = 4;

const measuredTasks = 16_000;
const warmUpTasks = 40_000;
const maximumJobs = 4_000;

/** Number of jobs of `tasks` tasks that are measured. */
export function countJobs(tasks: number): number {
  return Math.min(maximumJobs, Math.round(measuredTasks / tasks));
}

/** Number of jobs of `tasks` tasks that are served before, so that no code is compiled while it is measured. */
export function countWarmUpJobs(tasks: number): number {
  return Math.min(maximumJobs, Math.round(warmUpTasks / tasks));
}

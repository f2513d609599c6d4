/** The load of jobs on a measured dispatcher. */

/** Team that submits all jobs. */
export const measuredTeam = 'measured-team';
/** Token of the team; a constant for measurements on the loopback interface, not a secret. */
export const measuredToken = `cbt_${'A'.repeat(43)}`;
/** Number of sidecars of a dispatcher that serves jobs. */
export const busyDispatcherSidecars = 40;
/** Number of callers; each has one job open at a time. */
export const concurrentJobs = 4;

const measuredTasks = 16_000;
const warmUpTasks = 40_000;
const maximumJobs = 4_000;

/** Number of measured jobs of `tasks` tasks each. */
export function countJobs(tasks: number): number {
  return Math.min(maximumJobs, Math.round(measuredTasks / tasks));
}

/** Number of jobs of `tasks` tasks each that run before the measurement, so that just-in-time compilation is not measured. */
export function countWarmUpJobs(tasks: number): number {
  return Math.min(maximumJobs, Math.round(warmUpTasks / tasks));
}

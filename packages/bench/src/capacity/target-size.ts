/** The size that the system must support in two years, as its users state it. */

/** Size of the system in two years; the daemon figures are budgets of one process. */
export const targetSize = {
  workers: 1_600,
  accelerators: 2_800,
  startsPerSecond: 140_000,
  largestJobTasks: 200,
  teams: 98,
  regions: 2,
  dataCentres: 7,
  changesPerDay: 630,
  inForceSeconds: 4,
  daemonProcessorPercent: 4,
  daemonMebibytes: 32,
  daemonBytesPerSecond: 2_048,
  controlHosts: 7,
  hostFailuresPerDay: 11,
  restartsPerDay: 460,
} as const;

/** Tasks in a job for which the load of dispatchers and control is given. */
export const jobSizes = [1, 20, 200] as const;

/** Average number of tasks in a job at today's peak. */
export const averageTasksPerJob = 20;

/** Share of a core that a process may use at the peak; the rest is headroom for bursts. */
export const plannedUtilization = 0.7;

/** Seconds for which a sidecar retains starts and control retains claims. */
export const retentionSeconds = 600;

/** The size that the system must carry in two years, as its users state it. */

/** The size that the system must carry in two years. */
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

/** Sizes of job for which the load of dispatchers and control is given. */
export const jobSizes = [1, 20, 200] as const;

/** Tasks in the job that today's requests send on average at the peak. */
export const averageTasksPerJob = 20;

/** Part of a core that a process may use at the peak, so that bursts fit. */
export const plannedUtilization = 0.7;

/** Seconds for which a sidecar remembers starts and control remembers claims. */
export const retentionSeconds = 600;

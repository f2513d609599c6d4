/** Job identifiers of callers and within the system. */
import type { JobId, TeamName } from '@cranberryturn/types';

/** Composes the identifier used within the system, which differs between teams. */
export function composeJobId(team: TeamName, callerJobId: string): JobId {
  return `${team}/${callerJobId}`;
}

/** Reads the identifier that the caller chose. Names of teams contain no slash. */
export function readCallerJobId(jobId: JobId): string {
  return jobId.slice(jobId.indexOf('/') + 1);
}

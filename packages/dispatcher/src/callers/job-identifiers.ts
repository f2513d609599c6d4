/** Converts between job identifiers of callers and those within the system. */
import type { JobId, TeamName } from '@cranberryturn/types';

/** Composes the identifier used within the system; the team makes it unique across teams. */
export function composeJobId(team: TeamName, callerJobId: string): JobId {
  return `${team}/${callerJobId}`;
}

/** Returns the identifier that the caller chose. Team names contain no slash. */
export function readCallerJobId(jobId: JobId): string {
  return jobId.slice(jobId.indexOf('/') + 1);
}

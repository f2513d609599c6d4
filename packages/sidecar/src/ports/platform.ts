/** Port to the platform that manages workers: leases, usage, checkpoint, throttle and stop. */
import type { ConnectionError, RefusedError } from '@cranberryturn/errors';
import type {
  AttemptKey,
  Milliseconds,
  WorkerUsage,
} from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** `RefusedError` is final; after a `ConnectionError` the outcome is unknown and a retry may succeed. */
export type PlatformError = ConnectionError | RefusedError;

/** Lease under which one task may run. */
export interface PlatformLease {
  readonly leaseId: string;
  readonly expiresInMilliseconds: Milliseconds;
}

/** Operations of the platform on one worker. */
export interface PlatformPort {
  startLease(attempt: AttemptKey): ResultAsync<PlatformLease, PlatformError>;
  renewLease(leaseId: string): ResultAsync<PlatformLease, PlatformError>;
  endLease(leaseId: string): ResultAsync<void, PlatformError>;
  checkpointTask(leaseId: string): ResultAsync<void, PlatformError>;
  /** `share` is the fraction of a processor that the task may use, from 0 to 1. */
  throttleTask(
    leaseId: string,
    share: number,
  ): ResultAsync<void, PlatformError>;
  stopTask(leaseId: string): ResultAsync<void, PlatformError>;
  readUsage(): ResultAsync<WorkerUsage, PlatformError>;
  close(): Promise<void>;
}

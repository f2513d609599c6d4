/** The platform that runs workers: leases, usage, checkpoint, throttle and stop. */
import type { ConnectionError, RefusedError } from '@cranberryturn/errors';
import type {
  AttemptKey,
  Milliseconds,
  WorkerUsage,
} from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** Why the platform did not do what it was asked. */
export type PlatformError = ConnectionError | RefusedError;

/** Permission to run one task for a time. */
export interface PlatformLease {
  readonly leaseId: string;
  readonly expiresInMilliseconds: Milliseconds;
}

/** Commands to the platform of one worker. */
export interface PlatformPort {
  startLease(attempt: AttemptKey): ResultAsync<PlatformLease, PlatformError>;
  renewLease(leaseId: string): ResultAsync<PlatformLease, PlatformError>;
  endLease(leaseId: string): ResultAsync<void, PlatformError>;
  checkpointTask(leaseId: string): ResultAsync<void, PlatformError>;
  /** `share` is the part of a processor the task may use, from 0 to 1. */
  throttleTask(
    leaseId: string,
    share: number,
  ): ResultAsync<void, PlatformError>;
  stopTask(leaseId: string): ResultAsync<void, PlatformError>;
  readUsage(): ResultAsync<WorkerUsage, PlatformError>;
  close(): Promise<void>;
}

/** Decides what a process does after an error that nothing caught. */
import type { Milliseconds } from '@cranberryturn/types';

import { finishWithin } from './finish-within.js';
import type { ProgramHost } from './ports/program-host.js';
import {
  closeRoleEnvironment,
  type RoleEnvironment,
} from './role-environment.js';

/** What a process does after an error that nothing caught. */
export enum UnexpectedErrorPolicy {
  /** Continues, because its other sessions and jobs are not affected. */
  Continue = 'continue',
  /**
   * Ends, because a replica in an unknown state could lead without applying entries. The other replicas
   * go on, and a restart reads the state from the disk.
   */
  Exit = 'exit',
}

const failureExitCode = 1;
/** A disk that does not answer must not keep a process in an unknown state running. */
const closeTimeout: Milliseconds = 2_000;

/** Logs each error that nothing caught, and applies the policy of that moment. */
export function handleUnexpectedErrors(
  host: Pick<ProgramHost, 'onUnexpectedError' | 'exit'>,
  environment: RoleEnvironment,
  choosePolicy: () => UnexpectedErrorPolicy,
): void {
  let isEnding = false;
  host.onUnexpectedError(error => {
    const policy = choosePolicy();
    environment.logger.error('unexpected error', {
      error,
      stack: error instanceof Error ? error.stack : undefined,
      policy,
    });
    if (policy === UnexpectedErrorPolicy.Continue || isEnding) return;
    isEnding = true;
    void finishWithin(
      environment.timers,
      closeTimeout,
      closeRoleEnvironment(environment),
    ).finally(() => {
      host.exit(failureExitCode);
    });
  });
}

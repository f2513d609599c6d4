/** Logs that a replica changed its role, recovers from a fault of its disk, or failed. */
import type { Logger } from '@cranberryturn/logger';
import type { LogStatus } from '@cranberryturn/replicated-log';

import { listRoles } from './form-group.js';

/** Writes one line for a change of role, with the members that the replica knows. */
export function logRoleChange(logger: Logger, status: LogStatus): void {
  const { replicaId, role, term, leader, members, failure } = status;
  if (status.recoveryAttempts !== undefined) {
    logger.warn('control replica opens its log again after a disk fault', {
      replicaId,
      failedAttempts: status.recoveryAttempts,
      error: failure,
    });
    return;
  }
  if (failure !== undefined) {
    logger.error('control replica failed and stopped', {
      replicaId,
      error: failure,
    });
    return;
  }
  logger.info('control replica changed its role', {
    replicaId,
    role,
    term,
    leader,
    members: listRoles(members),
  });
}

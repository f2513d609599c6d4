/** Logs that a replica changed its role, or failed. */
import type { Logger } from '@cranberryturn/logger';
import type { LogStatus } from '@cranberryturn/replicated-log';

import { listRoles } from './form-group.js';

/** Writes one line for a change of role, with the members that the replica knows. */
export function logRoleChange(logger: Logger, status: LogStatus): void {
  const { replicaId, role, term, leader, members, failure } = status;
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

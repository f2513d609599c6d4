/** Composes the load that a worker reports. */
import type { WorkerLoad } from '@cranberryturn/types';

import type { StartRule } from './evacuation-guard.js';

/** Composes the load; outside of an evacuation it has no field of it, as in earlier versions. */
export function composeLoad(
  measured: Omit<WorkerLoad, 'closed'>,
  isClosed: boolean,
  evacuations: StartRule,
): WorkerLoad {
  const closed = isClosed || evacuations.isClosed();
  return evacuations.isEvacuated()
    ? { ...measured, closed, evacuated: true }
    : { ...measured, closed };
}

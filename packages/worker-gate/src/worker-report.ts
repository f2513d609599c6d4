/** Reports of a worker about itself. */
import type { Milliseconds, WorkerRun } from '@cranberryturn/types';

/** What a worker says of itself. */
export interface WorkerReport {
  readonly worker: WorkerRun;
  /** Start of this life in milliseconds since 1970 on the clock of the worker. */
  readonly bornAt: Milliseconds;
  /** Rises with each report of one life. */
  readonly sequence: number;
  /** The worker is about to leave. */
  readonly draining: boolean;
}

/** Reports may be overtaken by later ones, also by those of a later life at the same address. */
export function isOlder(report: WorkerReport, latest: WorkerReport): boolean {
  if (report.worker.incarnation === latest.worker.incarnation) {
    return report.sequence < latest.sequence;
  }
  return report.bornAt < latest.bornAt;
}

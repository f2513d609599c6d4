/** Reports of a worker about itself. */
import type { Milliseconds, WorkerRun } from '@cranberryturn/types';

/** A report that a worker sends about itself. */
export interface WorkerReport {
  readonly worker: WorkerRun;
  /** Start of this incarnation in milliseconds since 1970, on the clock of the worker. */
  readonly bornAt: Milliseconds;
  /** The steady clock of the worker when it sent the report; undefined when the report does not say. */
  readonly clock?: Milliseconds | undefined;
  /** Increases with each report of one incarnation. */
  readonly sequence: number;
  /** Whether the worker is about to leave. */
  readonly draining: boolean;
}

/** Whether two reports of one incarnation name the same service, which an incarnation does not change. */
export function isSameService(
  { worker }: WorkerReport,
  other: WorkerReport,
): boolean {
  return worker.service === other.worker.service;
}

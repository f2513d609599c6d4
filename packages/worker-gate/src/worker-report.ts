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

/** Whether a report is `known` delivered again, or an earlier one of the same incarnation. */
export function isRepeatedReport(
  report: WorkerReport,
  known: WorkerReport | undefined,
): boolean {
  return (
    report.worker.incarnation === known?.worker.incarnation &&
    report.sequence <= known.sequence
  );
}

/** Whether two reports are of different incarnations of the worker. */
export function isOtherIncarnation(
  { worker }: WorkerReport,
  other: WorkerReport,
): boolean {
  return worker.incarnation !== other.worker.incarnation;
}

/** Whether a report is out of date: reports can arrive out of order, also across incarnations at one address. */
export function isOlderReport(
  report: WorkerReport,
  latest: WorkerReport,
): boolean {
  return isOtherIncarnation(report, latest)
    ? report.bornAt < latest.bornAt
    : report.sequence < latest.sequence;
}

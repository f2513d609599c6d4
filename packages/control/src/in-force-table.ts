/**
 * The latest report of each dispatcher to this replica: its configuration version and silent
 * targets.
 */
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  Milliseconds,
  TargetIdentity,
} from '@cranberryturn/types';
import type { InForceReport } from '@cranberryturn/wire';

/** A report and its local time of arrival. */
export interface ReceivedReport extends InForceReport {
  readonly receivedAt: Milliseconds;
}

/**
 * Latest reports by dispatcher; written on each report, read by the status and the expiry of runs.
 */
export interface InForceTable {
  record(report: InForceReport): void;
  find(dispatcherId: DispatcherId): ReceivedReport | undefined;
}

/** Creates an empty table. */
export function createInForceTable(timers: TimerService): InForceTable {
  const reports = new Map<DispatcherId, ReceivedReport>();
  return {
    record: report => {
      const { dispatcherId } = report.dispatcher;
      reports.set(dispatcherId, {
        ...report,
        silentTargets: resolveSilentTargets(report, reports.get(dispatcherId)),
        receivedAt: timers.now(),
      });
    },
    find: dispatcherId => reports.get(dispatcherId),
  };
}

/** A report without a list repeats the list of the previous report of the same run. */
function resolveSilentTargets(
  { dispatcher, silentTargets }: InForceReport,
  previous: ReceivedReport | undefined,
): readonly TargetIdentity[] | undefined {
  if (silentTargets !== undefined) return silentTargets;
  if (previous?.dispatcher.incarnation !== dispatcher.incarnation) {
    return undefined;
  }
  return previous.silentTargets;
}

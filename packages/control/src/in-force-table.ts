/** The version of the configuration that each dispatcher reported to have in force. */
import type { TimerService } from '@cranberryturn/timers';
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';
import type { InForceReport } from '@cranberryturn/wire';

/** A report with its time of arrival. */
export interface ReceivedReport extends InForceReport {
  readonly receivedAt: Milliseconds;
}

/** Reports by dispatcher. */
export interface InForceTable {
  record(report: InForceReport): void;
  find(dispatcherId: DispatcherId): ReceivedReport | undefined;
}

/** Creates an empty table. */
export function createInForceTable(timers: TimerService): InForceTable {
  const reports = new Map<DispatcherId, ReceivedReport>();
  return {
    record: report => {
      reports.set(report.dispatcher.dispatcherId, {
        ...report,
        receivedAt: timers.now(),
      });
    },
    find: dispatcherId => reports.get(dispatcherId),
  };
}

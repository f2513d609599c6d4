/** Passes the events in a message of a sidecar on to the transient jobs. */
import { FromWorkerKind, type FromWorkerMessage } from '@cranberryturn/wire';

import type { SidecarSession } from './sidecar-session.js';
import type { WorkerEvents } from './worker-directory-options.js';

/** Reports the ends and stalls of runs. Ends can follow after their worker is no longer announced. */
export function reportWorkerEvents(
  { number, known }: SidecarSession,
  message: FromWorkerMessage,
  { runEnded, runsStalled }: Pick<WorkerEvents, 'runEnded' | 'runsStalled'>,
): void {
  switch (message.kind) {
    case FromWorkerKind.RunsEnded:
      for (const end of message.ends) runEnded(number, end);
      return;
    case FromWorkerKind.StalledRuns:
      if (known !== undefined) runsStalled(known, message.runs);
      return;
    case FromWorkerKind.Announce:
    case FromWorkerKind.Heartbeat:
    case FromWorkerKind.WorkerCrashes:
    case FromWorkerKind.Coordination:
    case FromWorkerKind.Leave:
      return;
  }
}

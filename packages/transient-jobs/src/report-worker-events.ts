/** Passes the events in a message of a sidecar on to the transient jobs. */
import { FromWorkerKind, type FromWorkerMessage } from '@cranberryturn/wire';

import type { KnownWorker } from './known-worker.js';
import type { WorkerEvents } from './worker-directory-options.js';

/** Reports the ends and stalls of runs at a worker. */
export function reportWorkerEvents(
  known: KnownWorker,
  message: FromWorkerMessage,
  { runEnded, runsStalled }: Pick<WorkerEvents, 'runEnded' | 'runsStalled'>,
): void {
  switch (message.kind) {
    case FromWorkerKind.RunsEnded:
      for (const end of message.ends) runEnded(known.workerId, end);
      return;
    case FromWorkerKind.StalledRuns:
      runsStalled(known, message.runs);
      return;
    case FromWorkerKind.Announce:
    case FromWorkerKind.Heartbeat:
    case FromWorkerKind.WorkerCrashes:
    case FromWorkerKind.Coordination:
    case FromWorkerKind.Leave:
      return;
  }
}

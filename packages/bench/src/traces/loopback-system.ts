/** Runs the real roles in this process over loopback, to record traces. */
import { createHttpJobClient } from '../load/create-http-job-client.js';
import type { TimerService } from '@cranberryturn/timers';

import {
  type BenchSystem,
  startBenchSystem,
} from '../system/start-bench-system.js';
import { brokenReply } from './simulated-submissions.js';
import type { TraceSystem } from './trace-system.js';
import {
  type TraceFault,
  TraceFaultKind,
  type TraceHeader,
} from './trace-format.js';
import { traceShape } from './trace-shape.js';

/** Starts the roles for a trace. Throws when a role cannot start. */
export async function startLoopbackSystem(
  header: TraceHeader,
  timers: TimerService,
): Promise<TraceSystem> {
  const system = await startBenchSystem({
    shape: {
      ...traceShape,
      workers: header.workers,
      slotsPerWorker: header.slots,
    },
    dispatchers: header.dispatchers,
    seed: header.seed,
    timers,
  });
  const clients = system.urls.map(url =>
    createHttpJobClient({ urls: [url], getToken: system.getToken }),
  );
  return {
    records: system.records,
    startedAt: timers.wallClock(),
    targetOf: worker => system.workers[worker]?.target.targetId ?? '',
    startCounts: () =>
      system.workers.flatMap(({ target }) => target.starts.list()),
    submitJob: (dispatcher, job) =>
      clients[dispatcher]?.submitJob(job) ?? Promise.resolve(brokenReply),
    cancelJob: (dispatcher, job) =>
      clients[dispatcher]?.cancelJob(job) ?? Promise.resolve(),
    applyFault: fault => applyFault(system, fault),
    stop: async () => {
      for (const client of clients) await client.close();
      await system.stop();
    },
  };
}

async function applyFault(
  system: BenchSystem,
  fault: TraceFault,
): Promise<void> {
  switch (fault.kind) {
    case TraceFaultKind.WorkerDies:
      await system.killWorker(fault.worker);
      return;
    case TraceFaultKind.TargetFault:
      system.workers[fault.worker]?.target.setFault(fault.fault);
      return;
    case TraceFaultKind.ConnectionsSilent:
      system.silenceConnections(
        system.workers[fault.worker]?.target.targetId ?? '',
      );
      return;
    case TraceFaultKind.DispatcherDies:
      system.dispatchers[fault.dispatcher]?.dispatcher.kill();
      return;
    case TraceFaultKind.WorkerLeaves:
      await system.workers[fault.worker]?.sidecar.stop();
      return;
    case TraceFaultKind.DispatcherLeaves:
      await system.dispatchers[fault.dispatcher]?.dispatcher.stop();
      return;
    case TraceFaultKind.WorkerRestarts:
    case TraceFaultKind.SidecarRestarts:
    case TraceFaultKind.DispatcherRestarts:
    case TraceFaultKind.ProcessesCutOff:
      throw new Error(
        `The loopback system does not support the fault "${fault.kind}"; replay the trace under the manual clock.`,
      );
  }
}

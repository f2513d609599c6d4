/** Runs the real dispatcher, sidecar and control code under the manual clock, to replay traces. */
import type { ControlNode } from '@cranberryturn/control';
import type { ManualTimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { createMemoryNetwork } from '@cranberryturn/wire';

import { applySimulatedFault } from './simulated-faults.js';
import {
  type SimulatedDispatcher,
  type SimulationContext,
  type SimulatedWorker,
  startSimulatedControl,
  startSimulatedDispatcher,
  startSimulatedWorker,
} from './simulated-roles.js';
import {
  brokenReply,
  readSubmission,
  toJobRequest,
} from './simulated-submissions.js';
import type { TraceSystem } from './trace-system.js';
import type { TraceHeader } from './trace-format.js';

const networkDelayMilliseconds: Milliseconds = 0.2;
const startUpMilliseconds: Milliseconds = 3_000;

/** The processes of a simulated system; a restart replaces the previous run by a new one. */
export interface SimulatedProcesses {
  readonly parts: SimulationContext;
  readonly control: ControlNode;
  /** Addresses on which dispatchers listen; all runs of a dispatcher use the same one. */
  readonly addresses: readonly NetworkAddress[];
  readonly dispatchers: SimulatedDispatcher[];
  readonly workers: SimulatedWorker[];
  /** All runs of all workers, to sum their counts of starts. */
  readonly workerRuns: SimulatedWorker[];
  /** Number of the latest run; names and seeds of new runs use the next one. */
  latestRun: number;
}

/** Starts the processes and advances the clock by their start-up time. */
export async function startSimulatedSystem(
  header: TraceHeader,
  timers: ManualTimerService,
): Promise<TraceSystem> {
  const parts: SimulationContext = {
    header,
    timers,
    network: createMemoryNetwork(timers, networkDelayMilliseconds),
    records: [],
  };
  const control = await startSimulatedControl(parts);
  const dispatchers = await Promise.all(
    Array.from({ length: header.dispatchers }, (_, position) =>
      startSimulatedDispatcher(parts, control, position),
    ),
  );
  const addresses = dispatchers.map(one => one.dispatcher.peersAddress);
  const workers = Array.from({ length: header.workers }, (_, position) =>
    startSimulatedWorker(parts, addresses, position),
  );
  await timers.advance(startUpMilliseconds);
  return composeTraceSystem({
    parts,
    control,
    addresses,
    dispatchers,
    workers,
    workerRuns: [...workers],
    latestRun: 1,
  });
}

function composeTraceSystem(system: SimulatedProcesses): TraceSystem {
  const { parts, dispatchers, workers } = system;
  return {
    records: parts.records,
    startedAt: parts.timers.wallClock(),
    targetOf: worker => workers[worker]?.targetId ?? '',
    startCounts: () =>
      system.workerRuns.flatMap(one => one.target.starts.list()),
    submitJob: (position, job) => {
      const chosen = dispatchers[position];
      if (chosen === undefined) return Promise.resolve(brokenReply);
      return Promise.race([
        chosen.died.then(() => brokenReply),
        chosen.dispatcher.jobs
          .submitJob(toJobRequest(job), job.jobId)
          .then(readSubmission),
      ]);
    },
    cancelJob: async (position, job) => {
      const chosen = dispatchers[position];
      await Promise.race([
        chosen?.died,
        chosen?.dispatcher.jobs.cancelJob(toJobRequest(job).jobId),
      ]);
    },
    applyFault: fault => applySimulatedFault(system, fault),
    stop: async () => {
      for (const worker of system.workerRuns) worker.sidecar.kill();
      for (const one of dispatchers) one.die();
      await Promise.all(dispatchers.map(one => one.stopControl()));
      await system.control.stop();
    },
  };
}

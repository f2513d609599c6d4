/** Applies the faults of a trace to simulated processes. */
import { sleep } from '@cranberryturn/timers';

import {
  startSimulatedDispatcher,
  startSimulatedWorker,
} from './simulated-roles.js';
import type { SimulatedProcesses } from './simulated-system.js';
import { type TraceFault, TraceFaultKind } from './trace-format.js';

/** Applies one fault. Has no effect on a process that does not exist. */
export async function applySimulatedFault(
  system: SimulatedProcesses,
  fault: TraceFault,
): Promise<void> {
  const { dispatchers, workers } = system;
  switch (fault.kind) {
    case TraceFaultKind.WorkerDies:
      killWorker(system, fault.worker);
      return;
    case TraceFaultKind.WorkerRestarts:
      killWorker(system, fault.worker);
      startWorker(system, fault.worker);
      return;
    case TraceFaultKind.SidecarRestarts:
      workers[fault.worker]?.sidecar.kill();
      startWorker(system, fault.worker);
      return;
    case TraceFaultKind.TargetFault:
      workers[fault.worker]?.target.setFault(fault.fault);
      return;
    case TraceFaultKind.ConnectionsSilent:
      silenceWorker(system, fault.worker);
      return;
    case TraceFaultKind.DispatcherDies:
      dispatchers[fault.dispatcher]?.die();
      return;
    case TraceFaultKind.DispatcherRestarts:
      await restartDispatcher(system, fault.dispatcher);
      return;
    case TraceFaultKind.DispatcherLeaves:
      await dispatchers[fault.dispatcher]?.dispatcher.stop();
      return;
    case TraceFaultKind.WorkerLeaves:
      await workers[fault.worker]?.sidecar.stop();
      return;
    case TraceFaultKind.ProcessesCutOff:
      await partitionProcesses(system, fault);
      return;
  }
}

function killWorker({ workers }: SimulatedProcesses, position: number): void {
  workers[position]?.target.kill();
  workers[position]?.sidecar.kill();
}

function startWorker(system: SimulatedProcesses, position: number): void {
  if (system.workers[position] === undefined) return;
  system.latestRun += 1;
  const { parts, addresses, latestRun } = system;
  const worker = startSimulatedWorker(parts, addresses, position, latestRun);
  system.workers[position] = worker;
  system.workerRuns.push(worker);
}

function silenceWorker(
  { parts, workers }: SimulatedProcesses,
  position: number,
) {
  for (const link of parts.network.connections) {
    if (link.from === workers[position]?.targetId) link.isSilent = true;
  }
}

async function restartDispatcher(
  system: SimulatedProcesses,
  position: number,
): Promise<void> {
  const { parts, control, addresses, dispatchers } = system;
  const former = dispatchers[position];
  if (former === undefined) return;
  former.die();
  system.latestRun += 1;
  dispatchers[position] = await startSimulatedDispatcher(
    parts,
    control,
    position,
    system.latestRun,
    addresses[position],
  );
}

async function partitionProcesses(
  { parts }: SimulatedProcesses,
  fault: Extract<TraceFault, { kind: TraceFaultKind.ProcessesCutOff }>,
): Promise<void> {
  const { network, timers } = parts;
  network.partition(fault.first, fault.second);
  await sleep(timers, fault.durationMilliseconds);
  network.heal(fault.first, fault.second);
}

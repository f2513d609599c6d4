/** Applies the faults of a trace to the processes of a manual stage. */
import { sleep } from '@cranberryturn/timers';

import { startManualDispatcher, startManualWorker } from './manual-parts.js';
import type { ManualSystem } from './manual-stage.js';
import { type TraceFault, TraceFaultKind } from './trace-format.js';

/** Applies one fault. A fault of a process that is not there does nothing. */
export async function applyManualFault(
  system: ManualSystem,
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
      await cutOff(system, fault);
      return;
  }
}

function killWorker({ workers }: ManualSystem, position: number): void {
  workers[position]?.target.kill();
  workers[position]?.sidecar.kill();
}

function startWorker(system: ManualSystem, position: number): void {
  if (system.workers[position] === undefined) return;
  system.latestRun += 1;
  const { parts, addresses, latestRun } = system;
  const worker = startManualWorker(parts, addresses, position, latestRun);
  system.workers[position] = worker;
  system.workerRuns.push(worker);
}

function silenceWorker({ parts, workers }: ManualSystem, position: number) {
  for (const link of parts.network.connections) {
    if (link.from === workers[position]?.targetId) link.isSilent = true;
  }
}

async function restartDispatcher(
  system: ManualSystem,
  position: number,
): Promise<void> {
  const { parts, control, addresses, dispatchers } = system;
  const former = dispatchers[position];
  if (former === undefined) return;
  former.die();
  system.latestRun += 1;
  dispatchers[position] = await startManualDispatcher(
    parts,
    control,
    position,
    system.latestRun,
    addresses[position],
  );
}

async function cutOff(
  { parts }: ManualSystem,
  fault: Extract<TraceFault, { kind: TraceFaultKind.ProcessesCutOff }>,
): Promise<void> {
  const { network, timers } = parts;
  network.partition(fault.first, fault.second);
  await sleep(timers, fault.durationMilliseconds);
  network.heal(fault.first, fault.second);
}

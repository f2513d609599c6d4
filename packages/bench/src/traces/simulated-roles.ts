/** Starts the real code of each role under the manual clock and an in-memory network. */
import {
  type ControlNode,
  createMemoryLog,
  startControl,
} from '@cranberryturn/control';
import { createControlClient } from '@cranberryturn/control-client';
import { type Dispatcher, startDispatcher } from '@cranberryturn/dispatcher';
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import { type Sidecar, startSidecar } from '@cranberryturn/sidecar';
import type { ManualTimerService } from '@cranberryturn/timers';
import type {
  DecisionRecord,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import { type MemoryNetwork, ProcessRole } from '@cranberryturn/wire';
import { okAsync } from 'neverthrow';

import { composeAnnouncement } from '../system/start-bench-system.js';
import {
  createSimulatedTarget,
  type SimulatedTarget,
} from './simulated-target.js';
import type { TraceHeader } from './trace-format.js';
import { traceShape } from './trace-shape.js';

const retentionMilliseconds: Milliseconds = 600_000;
const mebibyte = 1_048_576;
const anyPort: NetworkAddress = { address: '127.0.0.1', port: 0 };

/** Identifier of the only control replica. */
export const simulatedReplicaId = 'control-1';

/** One run of a dispatcher process. */
export interface SimulatedDispatcher {
  readonly dispatcherId: string;
  readonly dispatcher: Dispatcher;
  readonly stopControl: () => Promise<void>;
  /** Resolves when `die` was called. */
  readonly died: Promise<void>;
  readonly die: () => void;
}

/** One run of a worker: its target and its sidecar. */
export interface SimulatedWorker {
  readonly targetId: string;
  readonly target: SimulatedTarget;
  readonly sidecar: Sidecar;
}

/** Resources that all simulated roles share. */
export interface SimulationContext {
  readonly header: TraceHeader;
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  readonly records: DecisionRecord[];
}

/** Offset between the seeds of successive runs, so that no two runs of one process share a seed. */
const seedsPerRun = 1_000;

/** Starts control with one replica and an in-memory log. */
export async function startSimulatedControl(
  parts: SimulationContext,
): Promise<ControlNode> {
  const { timers, network, records } = parts;
  const started = await startControl({
    listen: anyPort,
    joinNetwork: name =>
      network.join({ role: ProcessRole.Control, name, incarnation: 'run-1' }),
    timers,
    openLog: stateMachine =>
      okAsync(
        createMemoryLog({
          replicaId: simulatedReplicaId,
          stateMachine,
          timers,
        }),
      ),
    peers: [],
    logger: createSilentLogger(),
    decisions: createDecisionSink(records, simulatedReplicaId, timers),
  });
  if (started.isErr()) throw started.error;
  return started.value;
}

/** Starts one run of a dispatcher. Pass the address of the previous run as `peers` for a restart. */
export async function startSimulatedDispatcher(
  { header, timers, network, records }: SimulationContext,
  control: ControlNode,
  position: number,
  run = 1,
  peers = anyPort,
): Promise<SimulatedDispatcher> {
  const dispatcherId = composeDispatcherId(position);
  const self = { dispatcherId, incarnation: `run-${String(run)}` };
  const joined = network.join({
    role: ProcessRole.Dispatcher,
    name: dispatcherId,
    incarnation: self.incarnation,
  });
  const seed = header.seed + position + run * seedsPerRun;
  const client = createControlClient({
    network: joined,
    timers,
    random: createRandomSource(seed),
    self,
    controlHosts: [{ replicaId: simulatedReplicaId, address: control.address }],
  });
  const started = await startDispatcher({
    self,
    callers: anyPort,
    peers,
    teams: [],
    limits: {
      bodyBytes: 8 * mebibyte,
      bodyTimeoutMilliseconds: 10_000,
      callersConnections: 16,
    },
    retention: {
      answersMilliseconds: retentionMilliseconds,
      answersBytes: 64 * mebibyte,
    },
    network: joined,
    control: client,
    timers,
    seed,
    metrics: createMetrics({
      role: ProcessRole.Dispatcher,
      process: dispatcherId,
      timers,
    }),
    decisions: createDecisionSink(records, dispatcherId, timers),
  });
  if (started.isErr()) throw started.error;
  const dispatcher = started.value;
  let resolveDied: () => void = () => undefined;
  const died = new Promise<void>(resolve => {
    resolveDied = resolve;
  });
  return {
    dispatcherId,
    dispatcher,
    stopControl: () => client.stop(),
    died,
    die: () => {
      dispatcher.kill();
      void client.stop();
      resolveDied();
    },
  };
}

/** Starts one run of a worker. */
export function startSimulatedWorker(
  { header, timers, network, records }: SimulationContext,
  dispatchers: readonly NetworkAddress[],
  position: number,
  run = 1,
): SimulatedWorker {
  const announced = composeAnnouncement(traceShape, position);
  const announcement = {
    ...announced,
    incarnation: run === 1 ? announced.incarnation : `run-${String(run)}`,
    slots: header.slots,
  };
  const { targetId, incarnation } = announcement;
  const target = createSimulatedTarget(targetId, timers);
  const sidecar = startSidecar({
    announcement,
    dispatchers,
    network: network.join({
      role: ProcessRole.Sidecar,
      name: targetId,
      incarnation,
    }),
    target,
    timers,
    random: createRandomSource(header.seed + position + run * seedsPerRun),
    decisions: createDecisionSink(records, targetId, timers),
    retention: {
      startsMilliseconds: retentionMilliseconds,
      answersBytes: 8 * mebibyte,
    },
    queueLimit: 2,
  });
  return { targetId, target, sidecar };
}

/** Composes the identifier of the dispatcher at a position. */
export function composeDispatcherId(position: number): string {
  return `dispatcher-${String(position + 1)}`;
}

function createDecisionSink(
  records: DecisionRecord[],
  process: string,
  timers: ManualTimerService,
): Parameters<typeof startSidecar>[0]['decisions'] {
  return decision => {
    records.push({ at: timers.wallClock(), process, ...decision });
  };
}

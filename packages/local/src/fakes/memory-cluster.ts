/** Every role over a network in memory, under the manual clock, with fake targets. */
import type { ControlNode } from '@cranberryturn/control';
import {
  type ControlClient,
  createControlClient,
} from '@cranberryturn/control-client';
import { type Dispatcher, startDispatcher } from '@cranberryturn/dispatcher';
import type { Logger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import { type Sidecar, startSidecar } from '@cranberryturn/sidecar';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import {
  type ClusterConfiguration,
  type Decision,
  emptyConfiguration,
  type JobRequest,
  type Milliseconds,
  type NetworkAddress,
} from '@cranberryturn/types';
import {
  createMemoryNetwork,
  type MemoryNetwork,
  ProcessRole,
} from '@cranberryturn/wire';

import { composeAnnouncement, service } from './compose-announcement.js';
import { createFakeTarget, type FakeTarget } from './fake-target.js';
import { startMemoryControl } from './start-memory-control.js';
import { isolateProcesses } from './isolate-processes.js';

const loopback: NetworkAddress = { address: '127.0.0.1', port: 0 };
const networkDelayMilliseconds: Milliseconds = 1;
const settleMilliseconds: Milliseconds = 2_000;
const mebibyte = 1_048_576;

/** One dispatcher with its client of control. */
export interface MemoryDispatcher {
  readonly dispatcherId: string;
  readonly dispatcher: Dispatcher;
  readonly control: ControlClient;
  /** Ends the process as a crash would. */
  crash(): void;
}

/** One worker. */
export interface MemoryWorker {
  readonly targetId: string;
  readonly target: FakeTarget;
  readonly sidecar: Sidecar;
}

/** A cluster in memory. */
export interface MemoryCluster {
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  /** Processes of these names cannot dial. */
  readonly isolatedProcesses: Set<string>;
  readonly control: ControlNode;
  readonly dispatchers: MemoryDispatcher[];
  readonly workers: MemoryWorker[];
  readonly decisions: Decision[];
  startDispatcher(
    dispatcherId: string,
    incarnation: string,
  ): Promise<MemoryDispatcher>;
  startWorker(targetId: string, incarnation: string): MemoryWorker;
  /** Starts of each task over all workers, as `job task` to count. */
  countStarts(): ReadonlyMap<string, number>;
  stop(): Promise<void>;
}

/** Sizes of a cluster in memory. */
export interface MemoryClusterOptions {
  readonly dispatchers: number;
  readonly workers: number;
  readonly slots: number;
  readonly runMilliseconds: Milliseconds;
  readonly logger?: Logger | undefined;
  /** Targets of each dispatcher; all without it. */
  readonly targetsPerService?: number | undefined;
  /** Limit of what each dispatcher holds; none without it. */
  readonly heldBytes?: number | undefined;
  /** Configuration of the empty log; nothing is set without it. */
  readonly configuration?: ClusterConfiguration | undefined;
  /** Time that control takes to commit an entry; 0 without it. */
  readonly commitMilliseconds?: Milliseconds | undefined;
}

/** Starts a cluster in memory and lets it settle. */
export async function startMemoryCluster(
  options: MemoryClusterOptions,
): Promise<MemoryCluster> {
  const timers = createManualTimerService();
  const memoryNetwork = createMemoryNetwork(timers, networkDelayMilliseconds);
  const isolatedProcesses = new Set<string>();
  const network = isolateProcesses(memoryNetwork, isolatedProcesses);
  const decisions: Decision[] = [];
  const record = (decision: Decision): void => {
    decisions.push(decision);
  };
  const control = await startMemoryControl(
    timers,
    network,
    record,
    options.configuration ?? emptyConfiguration,
    options.commitMilliseconds ?? 0,
  );
  const dispatchers: MemoryDispatcher[] = [];
  const workers: MemoryWorker[] = [];

  const addDispatcher = async (dispatcherId: string, incarnation: string) => {
    const added = await startMemoryDispatcher(
      {
        timers,
        network,
        control,
        record,
        ...options,
      },
      dispatcherId,
      incarnation,
    );
    dispatchers.push(added);
    return added;
  };

  const addWorker = (targetId: string, incarnation: string): MemoryWorker => {
    const target = createFakeTarget(timers, options.runMilliseconds);
    const sidecar = startSidecar({
      announcement: composeAnnouncement(targetId, incarnation, options.slots),
      dispatchers: dispatchers.map(one => one.dispatcher.peersAddress),
      network: network.join({
        role: ProcessRole.Sidecar,
        name: targetId,
        incarnation,
      }),
      target,
      timers,
      random: createRandomSource(workers.length + 1),
      decisions: record,
      logger: options.logger,
      retention: { startsMilliseconds: 600_000, answersBytes: mebibyte },
      queueLimit: 2,
    });
    const worker = { targetId, target, sidecar };
    workers.push(worker);
    return worker;
  };

  for (let position = 1; position <= options.dispatchers; position += 1) {
    await addDispatcher(`dispatcher-${String(position)}`, 'run-1');
  }
  for (let position = 1; position <= options.workers; position += 1) {
    addWorker(`worker-${String(position)}`, `run-1-${String(position)}`);
  }
  await timers.advance(settleMilliseconds);

  return {
    timers,
    network,
    isolatedProcesses,
    control,
    dispatchers,
    workers,
    decisions,
    startDispatcher: addDispatcher,
    startWorker: addWorker,
    countStarts: () => countStarts(workers),
    stop: async () => {
      for (const worker of workers) worker.sidecar.kill();
      for (const one of dispatchers) one.crash();
      const stopped = control.stop();
      await timers.advance(settleMilliseconds);
      await stopped;
    },
  };
}

/** Composes a job whose tasks carry no payload. */
export function composeJob(
  jobId: string,
  tasks: number,
  deadlineMilliseconds: Milliseconds,
): JobRequest {
  return {
    jobId: `wards/${jobId}`,
    service,
    team: 'wards',
    tasks: Array.from({ length: tasks }, (_unused, position) => ({
      taskId: `task-${String(position)}`,
      payload: 'null',
    })),
    idempotent: false,
    deadlineMilliseconds,
  };
}

interface DispatcherContext {
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  readonly control: ControlNode;
  readonly record: (decision: Decision) => void;
  readonly targetsPerService?: number | undefined;
  readonly heldBytes?: number | undefined;
  readonly logger?: Logger | undefined;
}

async function startMemoryDispatcher(
  {
    timers,
    network,
    control,
    record,
    targetsPerService,
    heldBytes,
    logger,
  }: DispatcherContext,
  dispatcherId: string,
  incarnation: string,
): Promise<MemoryDispatcher> {
  const self = { dispatcherId, incarnation };
  const dispatcherNetwork = network.join({
    role: ProcessRole.Dispatcher,
    name: dispatcherId,
    incarnation,
  });
  const running: { dispatcher?: Dispatcher } = {};
  const client = createControlClient({
    network: dispatcherNetwork,
    timers,
    random: createRandomSource(1),
    self,
    controlHosts: [{ replicaId: 'control-1', address: control.address }],
    listTargetsBehind: version =>
      running.dispatcher?.targets.listTargetsBehind(version) ?? [],
    listSilentTargets: roster =>
      running.dispatcher?.targets.listSilentTargets(roster) ?? [],
  });
  const started = await startDispatcher({
    self,
    callers: loopback,
    peers: loopback,
    teams: [],
    limits: {
      bodyBytes: mebibyte,
      bodyTimeoutMilliseconds: 10_000,
      callersConnections: 16,
    },
    retention: {
      answersMilliseconds: 600_000,
      answersBytes: mebibyte,
      heldBytes,
    },
    network: dispatcherNetwork,
    control: client,
    timers,
    targetsPerService,
    logger,
    seed: 1,
    metrics: createMetrics({
      role: ProcessRole.Dispatcher,
      process: dispatcherId,
      timers,
    }),
    decisions: record,
  });
  const dispatcher = started._unsafeUnwrap();
  running.dispatcher = dispatcher;
  const crash = (): void => {
    dispatcher.kill();
    void client.stop();
    for (const connection of network.connections) {
      if (connection.from !== dispatcherId && connection.to !== dispatcherId) {
        continue;
      }
      connection.disconnect();
    }
  };
  return { dispatcherId, dispatcher, control: client, crash };
}

function countStarts(
  workers: readonly MemoryWorker[],
): ReadonlyMap<string, number> {
  const total = new Map<string, number>();
  for (const { target } of workers) {
    for (const [key, starts] of target.starts) {
      total.set(key, (total.get(key) ?? 0) + starts);
    }
  }
  return total;
}

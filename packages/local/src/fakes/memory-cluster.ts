/** Runs every role over an in-memory network under a manual clock, with fake targets. */
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

/** A dispatcher with its control client. */
export interface MemoryDispatcher {
  readonly dispatcherId: string;
  readonly dispatcher: Dispatcher;
  readonly control: ControlClient;
  /** Ends the dispatcher without a planned stop and cuts its connections. */
  crash(): void;
}

/** A sidecar with its fake target. */
export interface MemoryWorker {
  readonly targetId: string;
  readonly target: FakeTarget;
  readonly sidecar: Sidecar;
}

/** A running in-memory cluster. */
export interface MemoryCluster {
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  /** Names of the processes that cannot dial. */
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
  /** Number of starts of each task over all workers, by `jobId taskId`. */
  countStarts(): ReadonlyMap<string, number>;
  stop(): Promise<void>;
}

/** Sizes and settings of an in-memory cluster. */
export interface MemoryClusterOptions {
  readonly dispatchers: number;
  readonly workers: number;
  readonly slots: number;
  readonly runMilliseconds: Milliseconds;
  readonly logger?: Logger | undefined;
  /** Targets of each dispatcher per service; all if undefined. */
  readonly targetsPerService?: number | undefined;
  /** Maximum number of bytes that each dispatcher holds; unlimited if undefined. */
  readonly heldBytes?: number | undefined;
  /** Initial configuration; empty if undefined. */
  readonly configuration?: ClusterConfiguration | undefined;
  /** Time that control takes to commit an entry; 0 if undefined. */
  readonly commitMilliseconds?: Milliseconds | undefined;
}

/** Starts an in-memory cluster and advances the clock by two seconds, so that the workers connect. */
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

/** Composes a job of the team `wards` whose tasks have the payload `null`. */
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

/** A cluster of control replicas in one process, with a faulty network and disks in memory. */
import {
  createControlClient,
  type ControlClient,
  type WatchEventHandler,
} from '@cranberryturn/control-client';
import { createSilentLogger, type Logger } from '@cranberryturn/logger';
import { createRandomSource } from '@cranberryturn/random';
import {
  createMemoryLogDisk,
  type LogStart,
  type LogTuning,
  type MemoryLogDisk,
  openReplicatedLog,
  ReplicaRole,
  StartKind,
} from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';
import type { ControlHostConfiguration } from '@cranberryturn/types';
import { ProcessRole, type Suspension } from '@cranberryturn/wire';

import { createFounderChoice } from '../choose-founders.js';
import type { ControlNode } from '../control-node.js';
import type { ControlRetention } from '../control-state.js';
import { startControl } from '../start-control.js';
import {
  composeBootstrapStart,
  composeFirstStart,
  composeInitialConfiguration,
} from './compose-start.js';
import { createFaultyNetwork, type FaultyNetwork } from './faulty-network.js';
import { createSuspendableProcesses } from './suspendable-processes.js';

const basePort = 7_400;
const dispatcherPort = 7_300;
const loopback = '127.0.0.1';
const oneWayDelayMilliseconds = 1;
const incarnationBound = 1_000_000_000;

/** Parameters of a cluster; the same seed repeats the same run. */
export interface ControlClusterOptions {
  readonly timers: TimerService;
  readonly seed: number;
  readonly size: number;
  readonly tuning?: Partial<LogTuning>;
  readonly retention?: Partial<ControlRetention>;
  /** Set when the replicas manage their own membership. */
  readonly minimumVoters?: number;
  /** Data centres that operators may evacuate. */
  readonly dataCentres?: readonly string[];
  /** Tolerated losses of whole data centres; none by default. */
  readonly toleratedDataCentres?: number;
  /** Data centre of a host; hosts state none by default. */
  readonly findDataCentre?: (host: string) => string;
  /** Lets tests suspend single processes. Off by default. */
  readonly isSuspendable?: boolean;
  /** Log of all replicas; silent by default. */
  readonly logger?: Logger;
}

/** A cluster of replicas. Founding hosts are named c1, c2 and so on. */
export interface ControlCluster {
  readonly network: FaultyNetwork;
  /**
   * Starts the replica of a founding host on its existing disk, or on an empty one the first time.
   */
  start(host: string, seeds?: readonly string[]): Promise<ControlNode>;
  /**
   * Starts a replica that joins: on an empty disk it waits to be added as a member. It looks for the
   * group at the seeds, which are the founding hosts by default.
   */
  startBlank(host: string, seeds?: readonly string[]): Promise<ControlNode>;
  /** Starts a replica for the first time of the whole system: the seeds decide who founds the log. */
  startFirst(
    host: string,
    seeds: readonly string[],
    hasDisk: boolean,
  ): Promise<ControlNode>;
  /** Starts an observer on an empty disk. */
  startObserver(host: string, seeds?: readonly string[]): Promise<ControlNode>;
  /** Returns the suspension of the latest run of a process, by its name; the cluster must be suspendable. */
  suspension(name: string): Suspension;
  /** Blocks the syncs of a host's disk, or resumes them. */
  hangDisk(host: string, isHanging: boolean): void;
  /** Erases the disk of a host; the host must not be running. */
  wipe(host: string): void;
  /** Kills the process of a host; bytes that were not synced may be lost. */
  crash(host: string): Promise<void>;
  /** Partitions a replica from the other replicas, but not from dispatchers. */
  cutFromReplicas(host: string): void;
  nodes(): readonly ControlNode[];
  findNode(host: string): ControlNode | undefined;
  /** Returns the replica that leads in the highest term. */
  leader(): ControlNode | undefined;
  /** Creates a dispatcher client that dials all founding hosts. */
  connect(
    dispatcherId: string,
    incarnation?: string,
    handleWatchEvent?: WatchEventHandler,
  ): ControlClient;
  /**
   * Creates a dispatcher client that listens on an address of its own, registers it, and dials only
   * the given hosts. The next run of the same name listens on the same address.
   */
  startDispatcher(
    dispatcherId: string,
    incarnation: string,
    seeds: readonly string[],
  ): Promise<ControlClient>;
  /** Composes the configuration entry of a control host. */
  describeHost(host: string, replicaId: string): ControlHostConfiguration;
}

/** Creates a cluster without starting its replicas. */
export function createControlCluster(
  options: ControlClusterOptions,
): ControlCluster {
  const { timers } = options;
  const random = createRandomSource(options.seed);
  const network = createFaultyNetwork(timers, oneWayDelayMilliseconds);
  const disks = new Map<string, MemoryLogDisk>();
  const processes = createSuspendableProcesses(
    timers,
    network,
    options.isSuspendable ?? false,
  );
  const running = new Map<string, ControlNode>();
  const founders = Array.from(
    { length: options.size },
    (_, position) => `c${String(position + 1)}`,
  );
  const composeAddress = (host: string) => ({
    address: loopback,
    port: basePort + Number(host.slice(1)),
  });
  const peers = founders.map(host => ({
    replicaId: host,
    address: composeAddress(host),
  }));

  const startReplica = async (
    host: string,
    start: LogStart,
    { seeds = founders, isObserver = false } = {},
  ): Promise<ControlNode> => {
    const processTimers = processes.start(host);
    const disk = disks.get(host) ?? createMemoryLogDisk(processTimers);
    disks.set(host, disk);
    const started = await startControl({
      listen: composeAddress(host),
      joinNetwork: name =>
        processes.join({
          role: ProcessRole.Control,
          name,
          incarnation: String(random.below(incarnationBound)),
        }),
      timers: processTimers,
      openLog: (stateMachine, link) =>
        openReplicatedLog({
          disk,
          link,
          stateMachine,
          timers: processTimers,
          random: createRandomSource(random.below(incarnationBound)),
          start,
          chooseFounders: createFounderChoice({
            minimumVoters: options.minimumVoters ?? 1,
            toleratedDataCentres: options.toleratedDataCentres ?? 0,
          }),
          tuning: options.tuning,
        }),
      peers,
      initialConfiguration: composeInitialConfiguration(peers),
      ...(options.retention === undefined
        ? {}
        : { retention: options.retention }),
      ...(options.minimumVoters === undefined
        ? {}
        : {
            group: {
              seeds: seeds.map(composeAddress),
              self: composeAddress(host),
              minimumVoters: options.minimumVoters,
              isObserver,
              dataCentre: options.findDataCentre?.(host),
              toleratedDataCentres: options.toleratedDataCentres ?? 0,
            },
          }),
      dataCentres: options.dataCentres,
      logger: options.logger ?? createSilentLogger(),
      decisions: () => undefined,
    });
    if (started.isErr()) throw started.error;
    running.set(host, started.value);
    return started.value;
  };

  const leader = (): ControlNode | undefined =>
    [...running.values()]
      .filter(node => node.log.status().role === ReplicaRole.Leader)
      .sort((left, right) => right.log.status().term - left.log.status().term)
      .at(0);

  return {
    network,
    leader,
    start: (host, seeds = founders) =>
      startReplica(host, composeBootstrapStart(host, peers), {
        seeds: [...seeds],
      }),
    startBlank: (host, seeds = founders) =>
      startReplica(host, { kind: StartKind.Join, host }, { seeds: [...seeds] }),
    startFirst: (host, seeds, hasDisk) =>
      startReplica(
        host,
        composeFirstStart({
          host,
          address: composeAddress(host),
          dataCentre: options.findDataCentre?.(host),
          seeds: seeds.map(composeAddress),
          hasDisk,
        }),
        { seeds: [...seeds], isObserver: !hasDisk },
      ),
    startObserver: (host, seeds = founders) => {
      disks.delete(host);
      return startReplica(
        host,
        { kind: StartKind.Join, host },
        { seeds: [...seeds], isObserver: true },
      );
    },
    suspension: processes.suspension,
    hangDisk: (host, isHanging) => {
      const disk = disks.get(host);
      if (isHanging) disk?.hang();
      else disk?.repair();
    },
    wipe: host => {
      disks.delete(host);
    },
    crash: async host => {
      const node = running.get(host);
      const disk = disks.get(host);
      if (node === undefined || disk === undefined) return;
      running.delete(host);
      disk.crash();
      disks.set(host, disk.afterCrash(random));
      await network.kill(node.log.status().replicaId);
    },
    cutFromReplicas: host => {
      const name = running.get(host)?.log.status().replicaId ?? host;
      for (const node of running.values()) {
        const other = node.log.status().replicaId;
        if (other !== name) network.cut(name, other);
      }
    },
    nodes: () => [...running.values()],
    findNode: host => running.get(host),
    connect: (
      dispatcherId,
      incarnation = 'run-1',
      handleWatchEvent = () => undefined,
    ) => {
      const processTimers = processes.start(dispatcherId);
      return createControlClient({
        network: processes.join({
          role: ProcessRole.Dispatcher,
          name: dispatcherId,
          incarnation,
        }),
        timers: processTimers,
        random: createRandomSource(random.below(incarnationBound)),
        self: { dispatcherId, incarnation },
        controlHosts: peers,
        handleWatchEvent,
      });
    },
    startDispatcher: async (dispatcherId, incarnation, seeds) => {
      const self = { dispatcherId, incarnation };
      const dispatcherNetwork = network.join({
        role: ProcessRole.Dispatcher,
        name: dispatcherId,
        incarnation,
      });
      const client = createControlClient({
        network: dispatcherNetwork,
        timers,
        random: createRandomSource(random.below(incarnationBound)),
        self,
        controlHosts: seeds.map(host => ({ address: composeAddress(host) })),
      });
      const address = { address: loopback, port: dispatcherPort };
      await dispatcherNetwork.listen(address, connection => {
        client.acceptControl(connection);
      });
      void client.registry.registerDispatcher({ ...self, address });
      return client;
    },
    describeHost: (host, replicaId) => ({
      replicaId,
      host,
      address: composeAddress(host),
    }),
  };
}

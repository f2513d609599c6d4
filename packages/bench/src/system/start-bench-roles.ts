/** Starts the real roles of a measured system in this process. */
import {
  type ControlNode,
  type ControlOptions,
  startControl,
} from '@cranberryturn/control';
import {
  type ControlClient,
  createControlClient,
} from '@cranberryturn/control-client';
import { type Dispatcher, startDispatcher } from '@cranberryturn/dispatcher';
import { findFreePorts } from '@cranberryturn/local';
import { createMetrics, type Metrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import {
  createFileLogDisk,
  MemberRole,
  openReplicatedLog,
  StartKind,
} from '@cranberryturn/replicated-log';
import type { Scheduler, SchedulerOptions } from '@cranberryturn/scheduling';
import {
  createHttpTarget,
  type Sidecar,
  startSidecar,
} from '@cranberryturn/sidecar';
import type {
  ClusterConfiguration,
  Milliseconds,
  NetworkAddress,
  TargetAnnouncement,
} from '@cranberryturn/types';
import { formatAddress, ProcessRole } from '@cranberryturn/wire';

import type { BenchContext, BenchTeam } from './bench-context.js';

/** Creates the scheduler of a dispatcher; lets the bench replace the placement policy. */
export type SchedulerFactory = (options: SchedulerOptions) => Scheduler;

/** A dispatcher with its control client and its metrics. */
export interface BenchDispatcher {
  readonly dispatcher: Dispatcher;
  readonly control: ControlClient;
  readonly metrics: Metrics;
}

/** Settings of one dispatcher. */
export interface BenchDispatcherOptions {
  readonly dispatcherId: string;
  readonly controlAddress: NetworkAddress;
  readonly teams: readonly BenchTeam[];
  readonly seed: number;
  readonly createScheduler?: SchedulerFactory | undefined;
}

const mebibyte = 1_048_576;
const retentionMilliseconds: Milliseconds = 600_000;
const sidecarQueueLimit = 2;
const replicaId = 'control-1';
const anyPort: NetworkAddress = { address: '127.0.0.1', port: 0 };

/** Settings of one control replica. */
export interface BenchReplicaOptions {
  readonly replicaId: string;
  readonly members: ControlOptions['peers'];
  /** Folder of the log, which is synced to disk. */
  readonly folder: string;
  readonly seed: number;
  readonly initialConfiguration: Omit<ClusterConfiguration, 'version'>;
}

/** Starts control with a single replica. Throws when it cannot start. */
export async function startBenchControl(
  context: BenchContext,
  folder: string,
  seed: number,
  initialConfiguration: Omit<ClusterConfiguration, 'version'>,
): Promise<ControlNode> {
  const [port = 0] = await findFreePorts(anyPort.address, 1);
  return startBenchReplica(context, {
    replicaId,
    members: [{ replicaId, address: { ...anyPort, port } }],
    folder,
    seed,
    initialConfiguration,
  });
}

/** Starts one control replica of a new cluster. Throws when `members` lacks the replica or it cannot start. */
export async function startBenchReplica(
  context: BenchContext,
  options: BenchReplicaOptions,
): Promise<ControlNode> {
  const { timers, logger } = context;
  const { replicaId: self, members, folder, seed } = options;
  const own = members.find(member => member.replicaId === self);
  if (own === undefined)
    throw new Error(
      `Control replica ${self} is not among the initial members.`,
    );
  const started = await startControl({
    listen: own.address,
    joinNetwork: name =>
      context.join({ role: ProcessRole.Control, name, incarnation: 'run-1' }),
    timers,
    openLog: (stateMachine, link) =>
      openReplicatedLog({
        disk: createFileLogDisk(folder),
        link,
        stateMachine,
        timers,
        random: createRandomSource(seed),
        start: {
          kind: StartKind.Bootstrap,
          replicaId: self,
          members: members.map(({ replicaId: name, address }) => ({
            replicaId: name,
            role: MemberRole.Voter,
            address: formatAddress(address),
          })),
        },
      }),
    peers: members,
    initialConfiguration: options.initialConfiguration,
    logger,
    decisions: context.getDecisionSink(self),
  });
  if (started.isErr()) throw started.error;
  return started.value;
}

/** Starts one dispatcher. Throws when it cannot start. */
export async function startBenchDispatcher(
  context: BenchContext,
  options: BenchDispatcherOptions,
): Promise<BenchDispatcher> {
  const { timers } = context;
  const { dispatcherId, seed } = options;
  const self = { dispatcherId, incarnation: 'run-1' };
  const network = context.join({
    role: ProcessRole.Dispatcher,
    name: dispatcherId,
    incarnation: self.incarnation,
  });
  const metrics = createMetrics({
    role: ProcessRole.Dispatcher,
    process: dispatcherId,
    timers,
  });
  const control = createControlClient({
    network,
    timers,
    random: createRandomSource(seed),
    self,
    controlHosts: [{ replicaId, address: options.controlAddress }],
  });
  const started = await startDispatcher({
    self,
    callers: anyPort,
    peers: anyPort,
    teams: options.teams,
    limits: {
      bodyBytes: 8 * mebibyte,
      bodyTimeoutMilliseconds: 10_000,
      callersConnections: 4_096,
    },
    retention: {
      answersMilliseconds: retentionMilliseconds,
      answersBytes: 64 * mebibyte,
    },
    network,
    control,
    timers,
    seed,
    metrics,
    decisions: context.getDecisionSink(dispatcherId),
    createScheduler: options.createScheduler,
  });
  if (started.isErr()) throw started.error;
  return { dispatcher: started.value, control, metrics };
}

/** Starts the sidecar of one target. */
export function startBenchSidecar(
  context: BenchContext,
  announcement: TargetAnnouncement,
  url: string,
  dispatchers: readonly NetworkAddress[],
  seed: number,
): Sidecar {
  const { targetId, incarnation, connections } = announcement;
  return startSidecar({
    announcement,
    dispatchers,
    network: context.join({
      role: ProcessRole.Sidecar,
      name: targetId,
      incarnation,
    }),
    target: createHttpTarget({ url, connections }),
    timers: context.timers,
    random: createRandomSource(seed),
    decisions: context.getDecisionSink(targetId),
    retention: {
      startsMilliseconds: retentionMilliseconds,
      answersBytes: 8 * mebibyte,
    },
    queueLimit: sidecarQueueLimit,
  });
}

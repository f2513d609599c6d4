/** Starts single roles inside this process. */
import type { SharedKeys } from '@cranberryturn/authentication';
import { type ControlNode, startControl } from '@cranberryturn/control';
import {
  type ControlClient,
  createControlClient,
} from '@cranberryturn/control-client';
import { type Dispatcher, startDispatcher } from '@cranberryturn/dispatcher';
import type { CranberryError } from '@cranberryturn/errors';
import type { Logger } from '@cranberryturn/logger';
import { createMetrics, type Metrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import {
  createFileLogDisk,
  MemberRole,
  openReplicatedLog,
  StartKind,
} from '@cranberryturn/replicated-log';
import {
  createHttpTarget,
  type Sidecar,
  startSidecar,
} from '@cranberryturn/sidecar';
import type { TimerService } from '@cranberryturn/timers';
import type {
  ClusterConfiguration,
  DecisionSink,
  NetworkAddress,
  ReplicaId,
  TargetAnnouncement,
  TeamName,
} from '@cranberryturn/types';
import {
  createWebSocketNetwork,
  type Network,
  ProcessRole,
} from '@cranberryturn/wire';
import { ok, ResultAsync } from 'neverthrow';

/** What every part of a local cluster shares. */
export interface LocalContext {
  readonly address: string;
  readonly keys: SharedKeys;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly decisionsOf: (process: string) => DecisionSink;
}

/** Address of one replica of control. */
export interface ReplicaAddress {
  readonly replicaId: ReplicaId;
  readonly address: NetworkAddress;
}

const mebibyte = 1_048_576;
const tenMinutesMilliseconds = 600_000;
const sidecarQueueLimit = 2;

/** Starts one replica of control. */
export function startLocalControl(
  context: LocalContext,
  self: ReplicaAddress,
  replicas: readonly ReplicaAddress[],
  folder: string,
  seed: number,
  initialConfiguration: Omit<ClusterConfiguration, 'version'>,
): ResultAsync<ControlNode, CranberryError> {
  const { timers } = context;
  const members = replicas.map(one => ({
    replicaId: one.replicaId,
    role: MemberRole.Voter,
    address: `${one.address.address}:${String(one.address.port)}`,
  }));
  return startControl({
    listen: self.address,
    joinNetwork: replicaId =>
      joinNetwork(context, ProcessRole.Control, replicaId, folder),
    timers,
    openLog: (stateMachine, link) =>
      openReplicatedLog({
        disk: createFileLogDisk(folder),
        link,
        stateMachine,
        timers,
        random: createRandomSource(seed),
        start: { kind: StartKind.Found, replicaId: self.replicaId, members },
      }),
    peers: replicas.filter(one => one.replicaId !== self.replicaId),
    initialConfiguration,
    logger: context.logger,
    decisions: context.decisionsOf(self.replicaId),
  });
}

/** A dispatcher with what only it uses. */
export interface LocalDispatcher {
  readonly dispatcher: Dispatcher;
  readonly control: ControlClient;
  readonly metrics: Metrics;
}

/** How one dispatcher is set up. */
export interface LocalDispatcherOptions {
  readonly dispatcherId: string;
  readonly incarnation: string;
  readonly callers: NetworkAddress;
  readonly replicas: readonly ReplicaAddress[];
  readonly teams: readonly {
    readonly team: TeamName;
    readonly tokenDigests: readonly string[];
  }[];
  readonly seed: number;
}

/** Starts one dispatcher. */
export function startLocalDispatcher(
  context: LocalContext,
  options: LocalDispatcherOptions,
): ResultAsync<LocalDispatcher, CranberryError> {
  const { timers } = context;
  const { dispatcherId, incarnation, seed } = options;
  const self = { dispatcherId, incarnation };
  const network = joinNetwork(
    context,
    ProcessRole.Dispatcher,
    dispatcherId,
    incarnation,
  );
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
    controlHosts: options.replicas,
  });
  return startDispatcher({
    self,
    callers: options.callers,
    peers: { address: context.address, port: 0 },
    teams: options.teams,
    limits: {
      bodyBytes: 8 * mebibyte,
      bodyTimeoutMilliseconds: 10_000,
      callersConnections: 4_096,
    },
    retention: {
      answersMilliseconds: tenMinutesMilliseconds,
      answersBytes: 64 * mebibyte,
    },
    network,
    control,
    timers,
    seed,
    metrics,
    decisions: context.decisionsOf(dispatcherId),
  }).andThen(dispatcher => ok({ dispatcher, control, metrics }));
}

/** Starts the sidecar of one target. */
export function startLocalSidecar(
  context: LocalContext,
  announcement: TargetAnnouncement,
  url: string,
  dispatchers: readonly NetworkAddress[],
  seed: number,
): Sidecar {
  const { targetId, incarnation, connections } = announcement;
  return startSidecar({
    announcement,
    dispatchers,
    network: joinNetwork(context, ProcessRole.Sidecar, targetId, incarnation),
    target: createHttpTarget({ url, connections }),
    timers: context.timers,
    random: createRandomSource(seed),
    decisions: context.decisionsOf(targetId),
    retention: {
      startsMilliseconds: tenMinutesMilliseconds,
      answersBytes: 8 * mebibyte,
    },
    queueLimit: sidecarQueueLimit,
  });
}

function joinNetwork(
  { keys, timers }: LocalContext,
  role: ProcessRole,
  name: string,
  incarnation: string,
): Network {
  return createWebSocketNetwork({
    self: { role, name, incarnation },
    keys,
    timers,
  });
}

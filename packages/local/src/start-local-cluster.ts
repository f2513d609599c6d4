/** Starts every role in this process, on loopback ports. */
import { randomUUID } from 'node:crypto';
import { join } from 'node:path';

import type { ControlNode } from '@cranberryturn/control';
import type { CranberryError } from '@cranberryturn/errors';
import type { Sidecar } from '@cranberryturn/sidecar';
import {
  type StandInTarget,
  startStandInTarget,
} from '@cranberryturn/stand-ins';
import type {
  ClusterConfiguration,
  NetworkAddress,
  ServiceName,
  TargetAnnouncement,
  TeamName,
  WorkerResources,
} from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import { findFreePorts } from './find-free-ports.js';
import {
  type LocalContext,
  type LocalDispatcher,
  type ReplicaAddress,
  startLocalControl,
  startLocalDispatcher,
  startLocalSidecar,
} from './local-parts.js';

/** Workers of one service in one rack. */
export interface LocalRack {
  readonly rack: string;
  readonly dataCentre: string;
  readonly workers: number;
}

/** One service of a local cluster. */
export interface LocalService {
  readonly service: ServiceName;
  readonly racks: readonly LocalRack[];
  readonly slots: number;
  readonly connections: number;
  readonly resources: WorkerResources;
}

/** What a local cluster is built from. */
export interface LocalClusterOptions {
  readonly context: LocalContext;
  readonly dataFolder: string;
  readonly controlReplicas: number;
  /** HTTP for callers, one entry for each dispatcher. */
  readonly dispatchers: readonly NetworkAddress[];
  readonly services: readonly LocalService[];
  readonly teams: readonly {
    readonly team: TeamName;
    readonly tokenDigests: readonly string[];
  }[];
  readonly seed: number;
  readonly initialConfiguration: Omit<ClusterConfiguration, 'version'>;
}

/** One worker with its target and its sidecar. */
export interface LocalWorker {
  readonly announcement: TargetAnnouncement;
  readonly target: StandInTarget;
  readonly sidecar: Sidecar;
}

/** A running local cluster. */
export interface LocalCluster {
  readonly control: readonly ControlNode[];
  readonly dispatchers: readonly LocalDispatcher[];
  readonly workers: readonly LocalWorker[];
  /** Planned stop of every role: sidecars, then dispatchers, then control. */
  stop(): Promise<void>;
}

/** Starts a local cluster. */
export function startLocalCluster(
  options: LocalClusterOptions,
): ResultAsync<LocalCluster, CranberryError> {
  return new ResultAsync(start(options));
}

async function start(
  options: LocalClusterOptions,
): Promise<Result<LocalCluster, CranberryError>> {
  const replicas = await chooseReplicas(options);
  const control = await startControlReplicas(options, replicas);
  if (control.isErr()) return err(control.error);
  const dispatchers = await startDispatchers(options, replicas);
  if (dispatchers.isErr()) return err(dispatchers.error);
  const workers = await startWorkers(
    options,
    dispatchers.value.map(one => one.dispatcher.peersAddress),
  );
  const stop = async (): Promise<void> => {
    await Promise.all(workers.map(stopWorker));
    for (const one of dispatchers.value) {
      await one.dispatcher.stop();
      await one.control.stop();
    }
    await Promise.all(control.value.map(one => one.stop()));
  };
  return ok({
    control: control.value,
    dispatchers: dispatchers.value,
    workers,
    stop,
  });
}

async function chooseReplicas(
  options: LocalClusterOptions,
): Promise<readonly ReplicaAddress[]> {
  const { address } = options.context;
  const ports = await findFreePorts(address, options.controlReplicas);
  return ports.map((port, position) => ({
    replicaId: `control-${String(position + 1)}`,
    address: { address, port },
  }));
}

async function startControlReplicas(
  options: LocalClusterOptions,
  replicas: readonly ReplicaAddress[],
): Promise<Result<readonly ControlNode[], CranberryError>> {
  const started = replicas.map((replica, position) =>
    startLocalControl(
      options.context,
      replica,
      replicas,
      join(options.dataFolder, replica.replicaId),
      options.seed + position,
      options.initialConfiguration,
    ),
  );
  return ResultAsync.combine(started);
}

async function startDispatchers(
  options: LocalClusterOptions,
  replicas: readonly ReplicaAddress[],
): Promise<Result<readonly LocalDispatcher[], CranberryError>> {
  const started = options.dispatchers.map((callers, position) =>
    startLocalDispatcher(options.context, {
      dispatcherId: `dispatcher-${String(position + 1)}`,
      incarnation: randomUUID(),
      callers,
      replicas,
      teams: options.teams,
      seed: options.seed + position,
    }),
  );
  return ResultAsync.combine(started);
}

function startWorkers(
  options: LocalClusterOptions,
  dispatchers: readonly NetworkAddress[],
): Promise<readonly LocalWorker[]> {
  const announcements = options.services.flatMap(announceWorkers);
  return Promise.all(
    announcements.map((announcement, position) =>
      startWorker(options, announcement, dispatchers, options.seed + position),
    ),
  );
}

async function startWorker(
  { context }: LocalClusterOptions,
  announcement: TargetAnnouncement,
  dispatchers: readonly NetworkAddress[],
  seed: number,
): Promise<LocalWorker> {
  const { targetId } = announcement;
  const target = await startStandInTarget({
    targetId,
    timers: context.timers,
    seed,
  });
  const sidecar = startLocalSidecar(
    context,
    announcement,
    target.url,
    dispatchers,
    seed,
  );
  return { announcement, target, sidecar };
}

async function stopWorker({ sidecar, target }: LocalWorker): Promise<void> {
  await sidecar.stop();
  await target.close();
}

function announceWorkers(service: LocalService): TargetAnnouncement[] {
  return service.racks.flatMap(rack =>
    Array.from({ length: rack.workers }, (_unused, position) => {
      const targetId = `${service.service}-${rack.rack}-${String(position + 1)}`;
      return {
        targetId,
        incarnation: randomUUID(),
        service: service.service,
        host: `host-${targetId}`,
        rack: rack.rack,
        dataCentre: rack.dataCentre,
        resources: service.resources,
        slots: service.slots,
        connections: service.connections,
      };
    }),
  );
}

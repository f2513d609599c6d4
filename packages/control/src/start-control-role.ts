/** Starts a control replica and its administration API from settings. */
import { randomInt } from 'node:crypto';

import type { CranberryError } from '@cranberryturn/errors';
import {
  createRoleNetworkFactory,
  type RoleEnvironment,
  type RunningRole,
} from '@cranberryturn/program';
import { Gauge } from '@cranberryturn/metrics';
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import {
  createFileLogDisk,
  createVolatileLogDisk,
  defaultLogTuning,
  type LogDisk,
  type LogStart,
  MemberRole,
  openReplicatedLog,
  StartKind,
} from '@cranberryturn/replicated-log';
import {
  type ControlSettings,
  initialConfigurationSchema,
  readSettingsFile,
} from '@cranberryturn/settings';
import type { ClusterConfiguration } from '@cranberryturn/types';
import {
  formatAddress,
  type Network,
  type PeerIdentity,
  type PropagationTimes,
  ProcessRole,
} from '@cranberryturn/wire';
import { err, ok, Result, ResultAsync } from 'neverthrow';

import { serveAdministration } from './adapters/serve-administration.js';
import type { ControlNode, ControlOptions } from './control-node.js';
import type { GroupOptions } from './group-options.js';
import { createFounderChoice } from './choose-founders.js';
import { measureSyncs } from './measure-syncs.js';
import { registerReplicaMetrics } from './register-replica-metrics.js';
import { startControl } from './start-control.js';

const seedBound = 2 ** 31;
const electionTimeoutSpreadFactor = 2;
/** An observer holds its files in memory, so they are kept short. */
const observerTuning = {
  maximumSegmentBytes: 1024 * 1024,
  snapshotBytes: 4 * 1024 * 1024,
  trailingEntries: 100,
};

type JoinNetwork = (self: PeerIdentity) => Network;

/** Starts the replica with its administration API. Called by the program `cranberry-control`. */
export function startControlRole(
  settings: ControlSettings,
  environment: RoleEnvironment,
): ResultAsync<RunningRole, CranberryError> {
  return new ResultAsync(startRole(settings, environment));
}

/** Settings of a replica that runs without the administration API. */
export type ControlReplicaSettings = Omit<
  ControlSettings,
  'administration' | 'operators' | 'limits' | 'log' | 'stop'
> & {
  /** By default what the default bounds allow. */
  readonly propagation?: PropagationTimes | undefined;
  /**
   * Set if the seeds of the group decide which hosts with a disk found the log: whether the whole system starts for the
   * first time. Must not be true for a process of a host that has started before.
   */
  readonly isFirstStart?: boolean | undefined;
};

/** Starts the replica without its administration API, for programs that offer their own. */
export function startControlReplica(
  settings: ControlReplicaSettings,
  environment: RoleEnvironment,
): ResultAsync<ControlNode, CranberryError> {
  return new ResultAsync(startReplica(settings, environment));
}

async function startReplica(
  settings: ControlReplicaSettings,
  environment: RoleEnvironment,
): Promise<Result<ControlNode, CranberryError>> {
  const prepared = Result.combine([
    createRoleNetworkFactory(settings.sharedKeyFile, environment),
    readInitialConfiguration(settings),
  ]);
  if (prepared.isErr()) return err(prepared.error);
  const [join, initialConfiguration] = prepared.value;
  const seed = settings.seed ?? randomInt(seedBound);
  environment.logger.info('random numbers seeded', { seed });
  return startControl(
    composeOptions(settings, environment, join, seed, initialConfiguration),
  ).andTee(({ state, log }) => {
    const { metrics } = environment;
    metrics.registerGauge(
      Gauge.EvacuatedDataCentres,
      () => state.evacuations.state.evacuations.length,
    );
    registerReplicaMetrics(metrics, () => log.status());
  });
}

async function startRole(
  settings: ControlSettings,
  environment: RoleEnvironment,
): Promise<Result<RunningRole, CranberryError>> {
  const started = await startReplica(settings, environment);
  if (started.isErr()) return err(started.error);
  const node = started.value;
  const served = await serveAdministration(
    {
      ...environment,
      node,
      operators: settings.operators,
      limits: settings.limits,
    },
    settings.administration,
  );
  if (served.isErr()) {
    await node.stop();
    return err(served.error);
  }
  const administration = served.value;
  return ok({
    addresses: { peers: node.address, administration: administration.address },
    stop: async () => {
      administration.beginStop();
      await administration.close();
      await node.stop();
    },
  });
}

function composeOptions(
  settings: ControlReplicaSettings,
  environment: RoleEnvironment,
  join: JoinNetwork,
  seed: number,
  initialConfiguration: Omit<ClusterConfiguration, 'version'>,
): ControlOptions {
  const { timers, logger, decisions } = environment;
  const random = createRandomSource(seed);
  return {
    listen: settings.peers.listen,
    joinNetwork: name => join(composeIdentity(name, random)),
    timers,
    openLog: (stateMachine, link) =>
      openReplicatedLog({
        disk: measureSyncs(createDisk(settings), timers, environment.metrics),
        link,
        stateMachine,
        timers,
        random,
        start: composeStart(settings),
        chooseFounders: createFounderChoice({
          minimumVoters: settings.group?.minimumVoters ?? 1,
          toleratedDataCentres: settings.group?.toleratedDataCentres ?? 0,
        }),
        tuning: composeTuning(settings),
      }),
    peers: settings.peers.members.map(({ replicaId, address, port }) => ({
      replicaId,
      address: { address, port },
    })),
    initialConfiguration,
    group: composeGroup(settings),
    propagation: settings.propagation,
    dataCentres: settings.dataCentres,
    logger,
    decisions: decisions.record,
  };
}

function createDisk({ dataFolder }: ControlReplicaSettings): LogDisk {
  return dataFolder === undefined
    ? createVolatileLogDisk()
    : createFileLogDisk(dataFolder);
}

function composeGroup({
  group,
  peers,
  dataFolder,
  dataCentre,
}: ControlReplicaSettings): GroupOptions | undefined {
  if (group === undefined) return undefined;
  const { address, port, advertisedAddress } = peers.listen;
  return {
    ...group,
    self: { address: advertisedAddress ?? address, port },
    isObserver: dataFolder === undefined,
    dataCentre,
  };
}

function composeIdentity(name: string, random: RandomSource): PeerIdentity {
  const incarnation = `${name}-${String(random.below(seedBound))}`;
  return { role: ProcessRole.Control, name, incarnation };
}

function composeStart(settings: ControlReplicaSettings): LogStart {
  const group = composeGroup(settings);
  const { isFirstStart } = settings;
  if (isFirstStart !== undefined && group !== undefined) {
    return {
      kind: StartKind.Seeded,
      host: settings.host,
      address: formatAddress(group.self),
      dataCentre: group.dataCentre,
      seeds: group.seeds.map(formatAddress),
      hasDisk: !group.isObserver,
      isFirstStart,
    };
  }
  if (settings.joining) return { kind: StartKind.Join, host: settings.host };
  return {
    kind: StartKind.Bootstrap,
    replicaId: settings.replicaId,
    members: settings.peers.members.map(({ replicaId, ...address }) => ({
      replicaId,
      role: MemberRole.Voter,
      address: formatAddress(address),
    })),
  };
}

function composeTuning({
  timings,
  snapshots,
  dataFolder,
}: ControlReplicaSettings) {
  const { leaderHeartbeatMilliseconds, electionTimeoutMilliseconds } = timings;
  return {
    ...defaultLogTuning,
    heartbeatInterval: leaderHeartbeatMilliseconds,
    minimumElectionTimeout: electionTimeoutMilliseconds,
    maximumElectionTimeout:
      electionTimeoutMilliseconds * electionTimeoutSpreadFactor,
    snapshotEntries: snapshots.everyEntries,
    ...(dataFolder === undefined ? observerTuning : {}),
  };
}

function readInitialConfiguration(
  settings: ControlReplicaSettings,
): Result<Omit<ClusterConfiguration, 'version'>, CranberryError> {
  const controlHosts = settings.peers.members.map(
    ({ replicaId, address, port }) => ({
      replicaId,
      host: replicaId,
      address: { address, port },
    }),
  );
  const defaults = {
    services: [],
    teams: [],
    workers: [],
    drainedRacks: [],
    drainedDataCentres: [],
    controlHosts,
  };
  const file = settings.initialConfigurationFile;
  if (file === undefined) return ok(defaults);
  return readSettingsFile(file, initialConfigurationSchema).map(read => ({
    ...defaults,
    ...read,
  }));
}

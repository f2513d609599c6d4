/** Starts a replica of control from its settings, with its administration API. */
import { randomInt } from 'node:crypto';

import {
  readSharedKeyFile,
  type SharedKeys,
} from '@cranberryturn/authentication';
import type { CranberryError } from '@cranberryturn/errors';
import type { RoleEnvironment, RunningRole } from '@cranberryturn/program';
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import {
  createFileLogDisk,
  defaultLogTuning,
  type FoundStart,
  type JoinStart,
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
  createWebSocketNetwork,
  formatAddress,
  type Network,
  ProcessRole,
} from '@cranberryturn/wire';
import { err, ok, Result, ResultAsync } from 'neverthrow';

import { serveAdministration } from './adapters/serve-administration.js';
import type { ControlOptions } from './control-node.js';
import { startControl } from './start-control.js';

const largestSeed = 2 ** 31;
const electionSpread = 2;

/** Starts the role. */
export function startControlRole(
  settings: ControlSettings,
  environment: RoleEnvironment,
): ResultAsync<RunningRole, CranberryError> {
  return new ResultAsync(start(settings, environment));
}

async function start(
  settings: ControlSettings,
  environment: RoleEnvironment,
): Promise<Result<RunningRole, CranberryError>> {
  const prepared = Result.combine([
    readSharedKeyFile(settings.sharedKeyFile),
    readInitialConfiguration(settings),
  ]);
  if (prepared.isErr()) return err(prepared.error);
  const [keys, initialConfiguration] = prepared.value;
  const seed = settings.seed ?? randomInt(largestSeed);
  environment.logger.info('seed of this run', { seed });
  const started = await startControl(
    composeOptions(settings, environment, keys, seed, initialConfiguration),
  );
  if (started.isErr()) return err(started.error);
  const node = started.value;
  const served = await serveAdministration(
    { ...environment, node, operators: settings.operators },
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
  settings: ControlSettings,
  environment: RoleEnvironment,
  keys: SharedKeys,
  seed: number,
  initialConfiguration: Omit<ClusterConfiguration, 'version'>,
): ControlOptions {
  const { timers, logger, decisions } = environment;
  const random = createRandomSource(seed);
  return {
    listen: settings.peers.listen,
    joinNetwork: name => joinNetwork(environment, keys, name, random),
    timers,
    openLog: (stateMachine, link) =>
      openReplicatedLog({
        disk: createFileLogDisk(settings.dataFolder),
        link,
        stateMachine,
        timers,
        random,
        start: composeStart(settings),
        tuning: composeTuning(settings),
      }),
    peers: settings.peers.members.map(({ replicaId, address, port }) => ({
      replicaId,
      address: { address, port },
    })),
    initialConfiguration,
    logger,
    decisions: decisions.record,
  };
}

function joinNetwork(
  { timers, logger }: RoleEnvironment,
  keys: SharedKeys,
  name: string,
  random: RandomSource,
): Network {
  const incarnation = `${name}-${String(random.below(largestSeed))}`;
  return createWebSocketNetwork({
    self: { role: ProcessRole.Control, name, incarnation },
    keys,
    timers,
    peerRefused: error => {
      logger.warn('a process was refused', { error });
    },
  });
}

function composeStart(settings: ControlSettings): FoundStart | JoinStart {
  if (settings.joining) return { kind: StartKind.Join, host: settings.host };
  return {
    kind: StartKind.Found,
    replicaId: settings.replicaId,
    members: settings.peers.members.map(({ replicaId, ...address }) => ({
      replicaId,
      role: MemberRole.Voter,
      address: formatAddress(address),
    })),
  };
}

function composeTuning({ timings, snapshots }: ControlSettings) {
  const { leaderHeartbeatMilliseconds, electionTimeoutMilliseconds } = timings;
  return {
    ...defaultLogTuning,
    heartbeatInterval: leaderHeartbeatMilliseconds,
    minimumElectionTimeout: electionTimeoutMilliseconds,
    maximumElectionTimeout: electionTimeoutMilliseconds * electionSpread,
    snapshotEntries: snapshots.everyEntries,
  };
}

function readInitialConfiguration(
  settings: ControlSettings,
): Result<Omit<ClusterConfiguration, 'version'>, CranberryError> {
  const controlHosts = settings.peers.members.map(
    ({ replicaId, address, port }) => ({
      replicaId,
      host: replicaId,
      address: { address, port },
    }),
  );
  const first = {
    services: [],
    teams: [],
    workers: [],
    drainedRacks: [],
    drainedDataCentres: [],
    controlHosts,
  };
  const file = settings.initialConfigurationFile;
  if (file === undefined) return ok(first);
  return readSettingsFile(file, initialConfigurationSchema).map(read => ({
    ...first,
    ...read,
  }));
}

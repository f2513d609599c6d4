/** Starts a dispatcher of transient jobs. */
import {
  createControlClient,
  type PublicationFeed,
} from '@cranberryturn/control-client';
import { maintainRegistration } from '@cranberryturn/dispatcher';
import type { CranberryError } from '@cranberryturn/errors';
import { Gauge } from '@cranberryturn/metrics';
import {
  chooseSeed,
  createIncarnation,
  createRoleNetwork,
  type RoleEnvironment,
} from '@cranberryturn/program';
import { createRandomSource } from '@cranberryturn/random';
import { TransientJobs } from '@cranberryturn/transient-jobs';
import type {
  DataCentreName,
  DispatcherId,
  KnownDispatcher,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import { type Network, ProcessRole } from '@cranberryturn/wire';
import type { ResultAsync } from 'neverthrow';

import { type StartReadiness, watchStart } from './start-readiness.js';
import { sidecarSessionTimes } from './run-session-times.js';

/** What a dispatcher of transient jobs is built from. */
export interface RunDispatcherOptions {
  readonly dispatcherId: DispatcherId;
  readonly dataCentre: DataCentreName;
  /** Address on which sidecars connect. */
  readonly peers: NetworkAddress;
  /** Replicas of control to dial first. */
  readonly control: readonly NetworkAddress[];
  readonly sharedKeyFile?: string | undefined;
  readonly remoteFactor: number;
  readonly seed?: number | undefined;
}

/** A running dispatcher. */
export interface RunDispatcher {
  readonly jobs: TransientJobs;
  readonly publication: PublicationFeed;
  /** Whether requests are served; they may wait for it during the start. */
  readonly readiness: StartReadiness;
  /** Replaces the replicas of control to dial first. */
  changeSeeds(control: readonly NetworkAddress[]): void;
  /** Planned stop: refuses new jobs and finishes those in progress. */
  stop(grace: Milliseconds): Promise<void>;
}

/** Starts the dispatcher: its connections to control, and its listener for sidecars. */
export function startRunDispatcher(
  options: RunDispatcherOptions,
  environment: RoleEnvironment,
): ResultAsync<RunDispatcher, CranberryError> {
  const { dispatcherId: name } = options;
  const incarnation = createIncarnation();
  return createRoleNetwork(options.sharedKeyFile, environment)
    .map(join => join({ role: ProcessRole.Dispatcher, name, incarnation }))
    .asyncAndThen(network =>
      startParts(options, environment, network, incarnation),
    );
}

function startParts(
  options: RunDispatcherOptions,
  environment: RoleEnvironment,
  network: Network,
  incarnation: string,
): ResultAsync<RunDispatcher, CranberryError> {
  const { timers, logger, metrics } = environment;
  const { dispatcherId, peers } = options;
  const seed = chooseSeed(options.seed, environment);
  const self = { dispatcherId, incarnation };
  const control = createControlClient({
    network,
    timers,
    random: createRandomSource(seed),
    self,
    controlHosts: options.control.map(address => ({ address })),
    handleMove: host => {
      logger.info('control host watched', { controlHost: host ?? 'none' });
    },
  });
  const listDispatchers = (): readonly KnownDispatcher[] =>
    control.roster.current().dispatchers;
  const jobs = new TransientJobs({
    ...options,
    timers,
    random: createRandomSource(seed + 1),
    times: sidecarSessionTimes,
    logger,
    metrics,
    listDispatchers,
  });
  const readiness = watchStart({
    timers,
    hasConfiguration: () => control.publication.current().version > 0,
    countWorkers: () => jobs.workers.countUsableWorkers(),
    isPaused: () => jobs.isPaused(),
  });
  const stopRoster = control.roster.subscribe(() => {
    jobs.workers.sendDispatcherList();
  });
  metrics.observe(Gauge.JobsOpen, () => jobs.inFlight);
  metrics.observe(Gauge.TargetsKnown, () => jobs.workers.countUsableWorkers());
  metrics.observe(
    Gauge.ConfigurationVersion,
    () => control.publication.current().version,
  );
  return network
    .listen(peers, connection => {
      if (connection.peer.role === ProcessRole.Sidecar) jobs.accept(connection);
      else connection.close();
    })
    .map(listener => {
      const registration = maintainRegistration({
        self: { ...self, address: peers },
        control,
        timers,
        logger,
      });
      return {
        jobs,
        publication: control.publication,
        readiness,
        changeSeeds: control.changeSeeds,
        stop: async (grace: Milliseconds) => {
          await jobs.stop(grace);
          registration.cancel();
          stopRoster();
          await control.stop();
          await listener.close();
        },
      };
    });
}

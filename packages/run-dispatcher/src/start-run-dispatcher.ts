/** Starts a dispatcher of transient jobs. */
import {
  createControlClient,
  type PublicationFeed,
  WatchEventKind,
} from '@cranberryturn/control-client';
import { maintainRegistration } from '@cranberryturn/dispatcher';
import type { CranberryError } from '@cranberryturn/errors';
import { Gauge } from '@cranberryturn/metrics';
import {
  chooseSeed,
  createIncarnation,
  createRoleNetworkFactory,
  type RoleEnvironment,
} from '@cranberryturn/program';
import { createRandomSource } from '@cranberryturn/random';
import {
  type ScarcitySettings,
  TransientJobs,
} from '@cranberryturn/transient-jobs';
import type {
  DataCentreName,
  DispatcherId,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import {
  defaultPropagationTimes,
  type Network,
  ProcessRole,
  type PropagationTimes,
  type RunValidity,
} from '@cranberryturn/wire';
import type { ResultAsync } from 'neverthrow';

import { followDispatcherList } from './follow-dispatcher-list.js';
import { followEvacuationProof } from './prove-evacuations.js';
import { type StartReadiness, watchStartReadiness } from './start-readiness.js';
import { sidecarSessionTimes } from './sidecar-session-times.js';

/** Options of a dispatcher of transient jobs. */
export interface RunDispatcherOptions {
  readonly dispatcherId: DispatcherId;
  readonly dataCentre: DataCentreName;
  /** Address on which the dispatcher accepts sidecars. */
  readonly peers: NetworkAddress;
  /** Processors of the host, by which coordinators of workers are chosen; undefined when not known. */
  readonly processors?: number | undefined;
  /** Whether tasks wait in shared queues; on by default. */
  readonly sharedQueue?: boolean | undefined;
  /** Control replicas to dial first. */
  readonly control: readonly NetworkAddress[];
  /** File with the key that authenticates peers; without one, any peer is trusted. */
  readonly sharedKeyFile?: string | undefined;
  /** Factor by which a task runs longer on a rack without its input data. */
  readonly remoteFactor: number;
  /** How long orders and runs are valid; by default what the default bounds allow. */
  readonly validity?: RunValidity | undefined;
  /** Times for following control; by default what the default bounds allow. */
  readonly propagation?: PropagationTimes | undefined;
  /** Settings of admission under scarcity; disabled when undefined. */
  readonly scarcity?: ScarcitySettings | undefined;
  /** Whether evacuations are enabled: sidecars are told the evacuated data centres. Off by default. */
  readonly evacuations?: boolean | undefined;
  /** Seed of the random source; chosen at random when undefined. */
  readonly seed?: number | undefined;
}

/** A running dispatcher. */
export interface RunDispatcher {
  readonly jobs: TransientJobs;
  readonly publication: PublicationFeed;
  /** Age of the newest proof that the publication is the latest one; undefined before the first proof. */
  proofAge(): Milliseconds | undefined;
  /** Whether a newer publication cannot have been in force elsewhere for longer than the bounds allow. */
  isPublicationProved(): boolean;
  /** Readiness to serve requests; requests that arrive during the start may wait for it. */
  readonly readiness: StartReadiness;
  /** Replaces the control replicas to dial first. */
  changeSeeds(control: readonly NetworkAddress[]): void;
  /** Planned stop: refuses new jobs, and gives up jobs that have not ended after the grace time. */
  stop(graceMilliseconds: Milliseconds): Promise<void>;
}

/** Starts the dispatcher: connects to control and listens for sidecars. Fails when the key file or the address cannot be used. */
export function startRunDispatcher(
  options: RunDispatcherOptions,
  environment: RoleEnvironment,
): ResultAsync<RunDispatcher, CranberryError> {
  const { dispatcherId: name } = options;
  const incarnation = createIncarnation();
  return createRoleNetworkFactory(options.sharedKeyFile, environment)
    .map(join => join({ role: ProcessRole.Dispatcher, name, incarnation }))
    .asyncAndThen(network =>
      startComponents(options, environment, network, incarnation),
    );
}

function startComponents(
  options: RunDispatcherOptions,
  environment: RoleEnvironment,
  network: Network,
  incarnation: string,
): ResultAsync<RunDispatcher, CranberryError> {
  const { timers, logger, metrics } = environment;
  const {
    dispatcherId,
    peers,
    processors,
    propagation = defaultPropagationTimes,
  } = options;
  const seed = chooseSeed(options.seed, environment);
  const self = { dispatcherId, incarnation };
  const hasConfiguration = (): boolean =>
    control.publication.current().version > 0;
  const evacuationProof = followEvacuationProof({
    timers,
    isFresh: () => control.isFresh(),
    hasConfiguration,
  });
  const control = createControlClient({
    network,
    timers,
    random: createRandomSource(seed),
    self,
    controlHosts: options.control.map(address => ({ address })),
    propagation,
    handleWatchEvent: ({ kind, ...details }, proofAgeMilliseconds) => {
      logger.info(kind, { ...details, proofAgeMilliseconds });
      if (kind === WatchEventKind.Watched) evacuationProof.hostChanged();
    },
  });
  const dispatcherList = followDispatcherList(control.roster);
  const jobs = new TransientJobs({
    ...options,
    network,
    evacuations:
      options.evacuations === true
        ? {
            current: control.evacuations.current,
            isProved: evacuationProof.isProved,
          }
        : undefined,
    timers,
    random: createRandomSource(seed + 1),
    times: sidecarSessionTimes,
    logger,
    metrics,
    listDispatchers: dispatcherList.current,
  });
  const readiness = watchStartReadiness({
    timers,
    hasConfiguration,
    countWorkers: () =>
      jobs.workers.countUsableWorkers() +
      jobs.workers.evacuations.countEvacuatedWorkers(),
    isPaused: () => jobs.isPaused(),
  });
  const unsubscribeFromList = dispatcherList.subscribe(() => {
    jobs.workers.dispatcherList.schedule();
  });
  control.publication.subscribe(() => {
    evacuationProof.updateReceived();
    // Sidecars that have started together with this process wait for a proved state.
    jobs.workers.evacuations.check();
  });
  control.evacuations.subscribe(() => {
    evacuationProof.updateReceived();
    jobs.workers.evacuations.applyChange();
  });
  metrics.registerGauge(Gauge.JobsOpen, () => jobs.inFlight);
  metrics.registerGauge(Gauge.TargetsKnown, () =>
    jobs.workers.countUsableWorkers(),
  );
  metrics.registerGauge(
    Gauge.ConfigurationVersion,
    () => control.publication.current().version,
  );
  metrics.registerGauge(Gauge.SidecarsUnconfirmed, () =>
    jobs.workers.evacuations.countUnconfirmed(),
  );
  return network
    .listen(peers, connection => {
      switch (connection.peer.role) {
        case ProcessRole.Sidecar:
          jobs.accept(connection);
          return;
        case ProcessRole.Control:
          control.acceptControl(connection);
          return;
        case ProcessRole.Dispatcher:
          jobs.acceptDispatcher(connection);
      }
    })
    .map(listener => {
      const registration = maintainRegistration({
        self: { ...self, address: peers, processors },
        control,
        timers,
        logger,
      });
      return {
        jobs,
        publication: control.publication,
        proofAge: control.proofAge,
        isPublicationProved: () =>
          (control.proofAge() ?? Infinity) <= propagation.applyMilliseconds,
        readiness,
        changeSeeds: control.changeSeeds,
        stop: async (graceMilliseconds: Milliseconds) => {
          await jobs.stop(graceMilliseconds);
          registration.cancel();
          unsubscribeFromList();
          evacuationProof.stop();
          await control.stop();
          await listener.close();
        },
      };
    });
}

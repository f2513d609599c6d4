/** Starts a dispatcher from its settings. */
import { createControlClient } from '@cranberryturn/control-client';
import type { CranberryError } from '@cranberryturn/errors';
import { Gauge, measureDecisions, type Metrics } from '@cranberryturn/metrics';
import {
  chooseSeed,
  createIncarnation,
  createRoleNetworkFactory,
  registerWastedSessionMessages,
  type RoleEnvironment,
  type RunningRole,
} from '@cranberryturn/program';
import { createRandomSource } from '@cranberryturn/random';
import type { DispatcherSettings } from '@cranberryturn/settings';
import type { DispatcherIdentity } from '@cranberryturn/types';
import { type Network, ProcessRole } from '@cranberryturn/wire';
import type { ResultAsync } from 'neverthrow';

import { type Dispatcher, startDispatcher } from './start-dispatcher.js';

/** A running dispatcher role. */
export interface DispatcherRole extends RunningRole {
  readonly dispatcher: Dispatcher;
}

/** Starts a dispatcher and its control client. Fails when the shared key cannot be read or a listener cannot start. */
export function startDispatcherRole(
  settings: DispatcherSettings,
  environment: RoleEnvironment,
): ResultAsync<DispatcherRole, CranberryError> {
  const { dispatcherId } = settings;
  const self = { dispatcherId, incarnation: createIncarnation() };
  return createRoleNetworkFactory(settings.sharedKeyFile, environment)
    .map(join =>
      join({
        role: ProcessRole.Dispatcher,
        name: dispatcherId,
        incarnation: self.incarnation,
      }),
    )
    .asyncAndThen(network =>
      startWithNetwork(settings, environment, self, network),
    );
}

function startWithNetwork(
  settings: DispatcherSettings,
  environment: RoleEnvironment,
  self: DispatcherIdentity,
  network: Network,
): ResultAsync<DispatcherRole, CranberryError> {
  const { timers, logger, metrics, decisions } = environment;
  const seed = chooseSeed(settings.seed, environment);
  const running: { dispatcher?: Dispatcher } = {};
  const control = createControlClient({
    network,
    timers,
    random: createRandomSource(seed),
    self,
    controlHosts: settings.control.map(({ replicaId, address, port }) => ({
      replicaId,
      address: { address, port },
    })),
    listTargetsBehind: version =>
      running.dispatcher?.targets.listTargetsBehind(version) ?? [],
    listSilentTargets: roster =>
      running.dispatcher?.targets.listSilentTargets(roster) ?? [],
    handleWatchEvent: ({ kind, ...details }, proofAgeMilliseconds) => {
      logger.info(kind, { ...details, proofAgeMilliseconds });
    },
  });
  return startDispatcher({
    self,
    dataCentre: settings.dataCentre,
    callers: settings.callers,
    peers: settings.peers,
    teams: settings.teams,
    limits: settings.limits,
    retention: {
      ...settings.retention,
      heldBytes: settings.limits.heldBytes,
    },
    network,
    control,
    timers,
    seed,
    metrics,
    decisions: measureDecisions(decisions.record, metrics, timers),
    logger,
    targetsPerService: settings.targetsPerService,
    graceMilliseconds: settings.stop.graceMilliseconds,
    sessionTimes: {
      heartbeatMilliseconds: settings.heartbeat.intervalMilliseconds,
      suspicionMilliseconds: settings.heartbeat.suspectAfterMilliseconds,
      idleHeartbeatMilliseconds: settings.heartbeat.idleIntervalMilliseconds,
    },
  })
    .map(dispatcher => {
      running.dispatcher = dispatcher;
      observeDispatcher(metrics, dispatcher);
      metrics.registerGauge(
        Gauge.ConfigurationVersion,
        () => control.configuration.current().version,
      );
      return {
        dispatcher,
        addresses: {
          callers: dispatcher.callersAddress,
          peers: dispatcher.peersAddress,
        },
        stop: async () => {
          await dispatcher.stop();
          await control.stop();
        },
      };
    })
    .orTee(() => {
      void control.stop();
    });
}

function observeDispatcher(metrics: Metrics, dispatcher: Dispatcher): void {
  const { scheduler, jobs, targets } = dispatcher;
  registerWastedSessionMessages(metrics, () => targets.acceptor.sessions());
  metrics.registerGauge(
    Gauge.Sessions,
    () => targets.acceptor.sessions().length,
  );
  metrics.registerGauge(Gauge.JobsOpen, () => jobs.inFlight);
  metrics.registerGauge(
    Gauge.TasksQueued,
    () => scheduler.status().queuedTasks,
  );
  metrics.registerGauge(
    Gauge.TasksRunning,
    () => scheduler.status().runningTasks,
  );
  metrics.registerGauge(
    Gauge.TargetsKnown,
    () => scheduler.status().targets.length,
  );
  metrics.registerGauge(
    Gauge.TargetsEjectedNow,
    () => scheduler.status().targets.filter(target => target.isEjected).length,
  );
}

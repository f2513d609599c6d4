/** Starts a sidecar process from its settings. */
import type { CranberryError } from '@cranberryturn/errors';
import { Gauge, measureDecisions, type Metrics } from '@cranberryturn/metrics';
import {
  chooseSeed,
  createIncarnation,
  createRoleNetworkFactory,
  finishWithin,
  registerWastedSessionMessages,
  type RoleEnvironment,
  type RunningRole,
  createIntake,
  operationsLimits,
  serveOperations,
} from '@cranberryturn/program';
import { createRandomSource } from '@cranberryturn/random';
import type { SidecarSettings } from '@cranberryturn/settings';
import type { TimerService } from '@cranberryturn/timers';
import type { Incarnation, TargetAnnouncement } from '@cranberryturn/types';
import { type Network, ProcessRole } from '@cranberryturn/wire';
import { ResultAsync } from 'neverthrow';

import { createHttpPlatform } from './adapters/http-platform.js';
import { createHttpTarget } from './adapters/http-target.js';
import { pollUsage } from './poll-usage.js';
import { createLeasedTarget } from './run-under-lease.js';
import {
  type Sidecar,
  type SidecarOptions,
  startSidecar,
} from './start-sidecar.js';

/**
 * Starts a sidecar with its health checks and metrics. Fails if the key file
 * cannot be read or the operations port not opened.
 */
export function startSidecarRole(
  settings: SidecarSettings,
  environment: RoleEnvironment,
): ResultAsync<RunningRole, CranberryError> {
  const incarnation = createIncarnation();
  const announcement = composeAnnouncement(settings, incarnation);
  const network = createRoleNetworkFactory(
    settings.sharedKeyFile,
    environment,
  ).map(join =>
    join({ role: ProcessRole.Sidecar, name: settings.targetId, incarnation }),
  );
  return network.asyncAndThen(joined =>
    serveSidecar(
      settings,
      environment,
      createSidecar(settings, environment, announcement, joined),
    ),
  );
}

function createSidecar(
  settings: SidecarSettings,
  environment: RoleEnvironment,
  announcement: TargetAnnouncement,
  network: Network,
): Sidecar {
  const { timers, decisions, metrics } = environment;
  const sidecar = startSidecar({
    announcement,
    dispatchers: settings.dispatchers,
    network,
    ...createTarget(settings, environment.timers),
    timers,
    random: createRandomSource(chooseSeed(settings.seed, environment)),
    decisions: measureDecisions(decisions.record, metrics, timers),
    logger: environment.logger,
    metrics,
    retention: {
      startsMilliseconds: settings.retention.answersMilliseconds,
      answersBytes: settings.retention.answersBytes,
    },
    queueLimit: settings.queuedTasks,
    graceMilliseconds: settings.stop.graceMilliseconds,
    sessionTimes: {
      heartbeatMilliseconds: settings.heartbeat.intervalMilliseconds,
      suspicionMilliseconds: settings.heartbeat.suspectAfterMilliseconds,
      idleHeartbeatMilliseconds: settings.heartbeat.idleIntervalMilliseconds,
    },
  });
  observeSidecar(metrics, sidecar, settings.slots);
  return sidecar;
}

/** Creates the client of the target, with leases and usage if a platform is configured. */
function createTarget(
  settings: SidecarSettings,
  timers: TimerService,
): Pick<SidecarOptions, 'target' | 'usage'> {
  const { platform: platformSettings, targetId, connections } = settings;
  const target = createHttpTarget({
    url: settings.target.url,
    connections,
    connectTimeoutMilliseconds: settings.target.connectTimeoutMilliseconds,
  });
  if (platformSettings === undefined) return { target };
  const { url, timeoutMilliseconds, usageIntervalMilliseconds } =
    platformSettings;
  const platform = createHttpPlatform({
    url,
    targetId,
    timeoutMilliseconds,
    connections,
    timers,
  });
  const { cancelledTasks, throttleShare } = platformSettings;
  return {
    target: createLeasedTarget({
      target,
      platform,
      timers,
      cancelledTasks,
      throttleShare,
    }),
    usage: pollUsage(platform, timers, usageIntervalMilliseconds),
  };
}

function serveSidecar(
  settings: SidecarSettings,
  { timers, logger, metrics }: RoleEnvironment,
  sidecar: Sidecar,
): ResultAsync<RunningRole, CranberryError> {
  let isStopping = false;
  const isReady = (): boolean => !isStopping && sidecar.sessions().length > 0;
  const intake = createIntake({
    timers,
    logger,
    metrics,
    limits: operationsLimits,
  });
  return serveOperations({
    address: settings.operations,
    metrics,
    intake,
    isReady,
  })
    .map(operations => ({
      addresses: { operations: operations.address },
      stop: async () => {
        isStopping = true;
        const { graceMilliseconds } = settings.stop;
        if (!(await finishWithin(timers, graceMilliseconds, sidecar.stop()))) {
          logger.warn('planned stop timed out with unacknowledged answers', {
            graceMilliseconds,
          });
          sidecar.kill();
        }
        await operations.close();
      },
    }))
    .orTee(() => {
      sidecar.kill();
    });
}

function composeAnnouncement(
  settings: SidecarSettings,
  incarnation: Incarnation,
): TargetAnnouncement {
  const { targetId, service, host, rack, dataCentre } = settings;
  const { resources, slots, connections } = settings;
  return {
    targetId,
    incarnation,
    service,
    host,
    rack,
    dataCentre,
    resources,
    slots,
    connections,
  };
}

function observeSidecar(
  metrics: Metrics,
  sidecar: Sidecar,
  slots: number,
): void {
  metrics.registerGauge(Gauge.Slots, () => slots);
  metrics.registerGauge(
    Gauge.SlotsInUse,
    () => slots - sidecar.runner.load.freeSlots,
  );
  metrics.registerGauge(
    Gauge.TasksQueued,
    () => sidecar.runner.load.queuedTasks,
  );
  metrics.registerGauge(Gauge.AnswersHeldBytes, () =>
    sidecar.answersHeldBytes(),
  );
  registerWastedSessionMessages(metrics, sidecar.sessions);
  metrics.registerGauge(Gauge.Sessions, () => sidecar.sessions().length);
}

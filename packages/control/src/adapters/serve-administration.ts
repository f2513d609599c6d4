/** Serves the administration API of a replica over HTTP. */
import { ConfirmOutcomeKind } from '@cranberryturn/configuration';
import type { ConnectionError } from '@cranberryturn/errors';
import { Counter, Gauge, type Metrics } from '@cranberryturn/metrics';
import {
  hasFailedForGood,
  type LogEvent,
  LogEventKind,
  ReplicaRole,
} from '@cranberryturn/replicated-log';
import type { Logger } from '@cranberryturn/logger';
import {
  createIntake,
  defaultResponseTimeout,
  listenForHttp,
} from '@cranberryturn/program';
import {
  type AdministrationLimits,
  administrationLimitsSchema,
} from '@cranberryturn/settings';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { maximumProofAge } from '@cranberryturn/wire';
import type { ResultAsync } from 'neverthrow';

import {
  createAdministrationApi,
  maximumBodyBytes,
} from '../administration-api.js';
import type { Operator } from '../administration-responses.js';
import type { ControlNode } from '../control-node.js';
import { OperationOutcomeKind } from '../control-operations.js';
import type { EntryOutcome } from '../control-state.js';

const bodyTimeout: Milliseconds = 30_000;

/** A running administration server. */
export interface AdministrationServer {
  readonly address: NetworkAddress;
  /** Makes `/readyz` fail from now on. */
  beginStop(): void;
  /** Stops listening and resolves when the calls in flight are answered. */
  close(): Promise<void>;
}

/** Dependencies of the server. */
export interface AdministrationServerOptions {
  readonly node: ControlNode;
  readonly operators: readonly Operator[];
  readonly metrics: Metrics;
  readonly timers: TimerService;
  readonly logger?: Logger | undefined;
  /** Defaults of the settings when undefined. */
  readonly limits?: AdministrationLimits | undefined;
}

/**
 * Starts the server on `address`; port 0 picks a free port. Fails when the address cannot be bound.
 */
export function serveAdministration(
  options: AdministrationServerOptions,
  address: NetworkAddress,
): ResultAsync<AdministrationServer, ConnectionError> {
  const { node, metrics, timers } = options;
  let isStopping = false;
  registerMetrics(node, metrics);
  const app = createAdministrationApi({
    operators: options.operators,
    administer: call => node.administer(call),
    evacuations: node.evacuations,
    isAlive: () => !hasFailedForGood(node.log.status()),
    isReady: () => !isStopping && hasProvedLeader(node, timers),
    exposeMetrics: () => metrics.expose(),
    handleRefusedToken: () => {
      metrics.count(Counter.TokensRefused);
    },
  });
  const { connections, ...limits } =
    options.limits ?? administrationLimitsSchema.parse(undefined);
  return listenForHttp({
    app,
    address,
    bodyTimeoutMilliseconds: bodyTimeout,
    connections,
    bodyBytes: () => maximumBodyBytes,
    intake: createIntake({
      ...options,
      limits: {
        ...limits,
        responseTimeoutMilliseconds: defaultResponseTimeout,
      },
    }),
  }).map(listener => ({
    address: listener.address,
    beginStop: () => {
      isStopping = true;
    },
    close: () => listener.close(),
  }));
}

function hasProvedLeader({ log }: ControlNode, timers: TimerService): boolean {
  const { leadershipProvedAt } = log.status();
  return (
    leadershipProvedAt !== undefined &&
    timers.now() - leadershipProvedAt <= maximumProofAge
  );
}

function registerMetrics({ log, state }: ControlNode, metrics: Metrics): void {
  log.subscribe(event => {
    countEvent(event, metrics);
  });
  metrics.registerGauge(
    Gauge.ConfigurationVersion,
    () => state.configuration.configuration.version,
  );
  metrics.registerGauge(Gauge.LogIndex, () => log.status().appliedIndex);
  metrics.registerGauge(Gauge.Leading, () =>
    log.status().role === ReplicaRole.Leader ? 1 : 0,
  );
  metrics.registerGauge(Gauge.TargetsKnown, () => state.roster.targets.size);
  metrics.registerGauge(Gauge.JobsOpen, () => state.claims.unfinished.size);
}

function countEvent(event: LogEvent<EntryOutcome>, metrics: Metrics): void {
  if (event.kind === LogEventKind.Applied) {
    metrics.count(
      Counter.ConfigurationChanges,
      countAcceptedChanges(event.outcome),
    );
    return;
  }
  if (event.kind !== LogEventKind.RoleChanged) return;
  if (event.status.role !== ReplicaRole.Candidate) return;
  metrics.count(Counter.ElectionsStarted);
}

function countAcceptedChanges(outcomes: EntryOutcome): number {
  return outcomes.filter(
    outcome =>
      outcome.kind === OperationOutcomeKind.Confirm &&
      outcome.outcome.kind === ConfirmOutcomeKind.Accepted,
  ).length;
}

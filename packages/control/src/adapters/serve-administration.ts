/** Serves the administration API of a replica over HTTP. */
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import { serve } from '@hono/node-server';
import { ConfirmOutcomeKind } from '@cranberryturn/configuration';
import { ConnectionError } from '@cranberryturn/errors';
import { Counter, Gauge, type Metrics } from '@cranberryturn/metrics';
import {
  hasFailedForGood,
  type LogEvent,
  LogEventKind,
  ReplicaRole,
} from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';
import type { NetworkAddress } from '@cranberryturn/types';
import { formatAddress, maximumProofAge } from '@cranberryturn/wire';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import { createAdministrationApi } from '../administration-api.js';
import type { Operator } from '../administration-responses.js';
import type { ControlNode } from '../control-node.js';
import { OperationOutcomeKind } from '../control-operations.js';
import type { EntryOutcome } from '../control-state.js';

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
  return new ResultAsync(listen(app.fetch, address)).map(server => ({
    address: {
      address: address.address,
      port: (server.address() as AddressInfo).port,
    },
    beginStop: () => {
      isStopping = true;
    },
    close: () => closeServer(server),
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

function listen(
  fetch: Parameters<typeof serve>[0]['fetch'],
  address: NetworkAddress,
): Promise<Result<Server, ConnectionError>> {
  return new Promise(resolve => {
    const server = serve(
      { fetch, hostname: address.address, port: address.port },
      () => {
        resolve(ok(server));
      },
    ) as Server;
    server.on('error', cause => {
      resolve(
        err(
          new ConnectionError(
            `Cannot listen on ${formatAddress(address)} for operators; choose a free port as "administration" in the settings.`,
            { step: 'listen for operators' },
            cause,
          ),
        ),
      );
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => {
      resolve();
    });
    server.closeIdleConnections();
  });
}

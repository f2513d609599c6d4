/** Starts and stops a dispatcher. */
import type { CranberryError } from '@cranberryturn/errors';
import {
  createIntake,
  defaultRequestsPerConnection,
  defaultResponseTimeout,
  type HttpListener,
  listenForHttp,
} from '@cranberryturn/program';
import type { Scheduler } from '@cranberryturn/scheduling';
import { sleep } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import {
  type Connection,
  type Listener,
  ProcessRole,
} from '@cranberryturn/wire';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import {
  findResultElsewhere,
  listOtherDispatchers,
} from './handle-dispatcher-calls.js';
import { serveCallers } from './callers/serve-callers.js';
import type { DispatcherOptions } from './dispatcher-options.js';
import {
  confirmMembership,
  listSharingDispatchers,
} from './confirm-membership.js';
import {
  createDispatcherParts,
  type DispatcherParts,
  isRegistered,
} from './dispatcher-parts.js';
import type { JobService } from './job-service.js';
import { maintainRegistration } from './maintain-registration.js';
import type { TargetDirectory } from './target-directory.js';

const drainPollMilliseconds: Milliseconds = 20;
const tooLargeAdvice = 'split the job';
const defaultGraceMilliseconds: Milliseconds = 60_000;

/** A running dispatcher. */
export interface Dispatcher {
  readonly callersAddress: NetworkAddress;
  readonly peersAddress: NetworkAddress;
  readonly scheduler: Scheduler;
  readonly jobs: JobService;
  readonly targets: TargetDirectory;
  /** Whether this run is registered at control, which is required to accept jobs. */
  isRegistered(): boolean;
  /** Planned stop: fails `/readyz`, refuses new jobs, and waits for jobs in flight up to the grace period. */
  stop(): Promise<void>;
  /** Closes everything immediately, without waiting for jobs, to simulate a crash. */
  kill(): void;
}

/** Listens for peers and callers, and begins to register at control. Fails when a listener cannot start. */
export function startDispatcher(
  options: DispatcherOptions,
): ResultAsync<Dispatcher, CranberryError> {
  return new ResultAsync(start(options));
}

async function start(
  options: DispatcherOptions,
): Promise<Result<Dispatcher, CranberryError>> {
  const { limits, retention } = options;
  const intake = createIntake({
    ...options,
    limits: {
      heldBytes: retention.heldBytes ?? Infinity,
      requestsPerConnection:
        limits.requestsPerConnection ?? defaultRequestsPerConnection,
      responseTimeoutMilliseconds: defaultResponseTimeout,
    },
  });
  const parts = createDispatcherParts(options, intake.held);
  const peers = await options.network.listen(options.peers, connection => {
    routeConnection(parts, connection);
  });
  if (peers.isErr()) return err(peers.error);
  let isReady = true;
  const callers = await listenForHttp({
    app: serveCallers({
      jobs: parts.jobs,
      teams: options.teams,
      metrics: options.metrics,
      bodyBytes: limits.bodyBytes,
      configuration: () => options.control.configuration.current(),
      findElsewhere: (jobId, cancel) =>
        findResultElsewhere(
          parts.links,
          listOtherDispatchers(options.control.roster, options.self),
          jobId,
          cancel,
        ),
      isReady: () => isReady && isRegistered(parts),
    }),
    address: options.callers,
    bodyTimeoutMilliseconds: limits.bodyTimeoutMilliseconds,
    connections: limits.callersConnections,
    bodyBytes: () => limits.bodyBytes,
    tooLargeAdvice,
    intake,
  });
  if (callers.isErr()) {
    await peers.value.close();
    return err(callers.error);
  }
  const unsubscribe = subscribeToConfiguration(parts);
  const membership = confirmMembership({
    ...options,
    scheduler: parts.scheduler,
  });
  const advertised = {
    address: options.peers.advertisedAddress ?? peers.value.address.address,
    port: peers.value.address.port,
  };
  const registration = maintainRegistration({
    ...options,
    self: { ...options.self, address: advertised },
  });
  parts.registration = registration;
  return ok(
    assembleDispatcher(parts, peers.value, callers.value, () => {
      isReady = false;
      registration.cancel();
      membership.cancel();
      parts.pauses.cancel();
      unsubscribe();
    }),
  );
}

function routeConnection(
  { targets, links }: DispatcherParts,
  connection: Connection,
): void {
  switch (connection.peer.role) {
    case ProcessRole.Sidecar:
      void targets.acceptor.acceptConnection(connection);
      return;
    case ProcessRole.Dispatcher:
      links.serve(connection);
      return;
    case ProcessRole.Control:
      connection.close();
      return;
  }
}

function subscribeToConfiguration({
  options,
  targets,
  scheduler,
}: DispatcherParts): () => void {
  const { configuration, roster } = options.control;
  const apply = (): void => {
    const sharing = listSharingDispatchers(roster.current(), options.self);
    scheduler.applyConfiguration(configuration.current(), sharing);
    targets.applyConfiguration(configuration.current());
    targets.applyRoster();
  };
  apply();
  const stopConfiguration = configuration.subscribe(apply);
  const stopRoster = roster.subscribe(apply);
  return () => {
    stopConfiguration();
    stopRoster();
  };
}

function assembleDispatcher(
  parts: DispatcherParts,
  peers: Listener,
  callers: HttpListener,
  detach: () => void,
): Dispatcher {
  const { options, jobs, targets, scheduler, links } = parts;
  const stop = async (): Promise<void> => {
    jobs.stopAdmission();
    detach();
    const drainDeadline =
      options.timers.now() +
      (options.graceMilliseconds ?? defaultGraceMilliseconds);
    while (jobs.inFlight > 0 && options.timers.now() < drainDeadline) {
      await sleep(options.timers, drainPollMilliseconds);
    }
    await callers.close();
    await options.control.registry.retireDispatcher(options.self);
    scheduler.stop();
    targets.close();
    links.close();
    await peers.close();
  };
  const kill = (): void => {
    detach();
    callers.kill();
    scheduler.stop();
    targets.close();
    links.close();
    void peers.close();
  };
  return {
    callersAddress: callers.address,
    peersAddress: peers.address,
    scheduler,
    jobs,
    targets,
    isRegistered: () => isRegistered(parts),
    stop,
    kill,
  };
}

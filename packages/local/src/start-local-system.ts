/** Starts every role in one process, with stand-in targets, on loopback ports. */
import { startControlRole } from '@cranberryturn/control';
import {
  type DispatcherRole,
  startDispatcherRole,
} from '@cranberryturn/dispatcher';
import { type CranberryError, TimeoutError } from '@cranberryturn/errors';
import {
  closeRoleEnvironment,
  createRoleEnvironment,
  type RoleEnvironment,
  type RunningRole,
} from '@cranberryturn/program';
import type { LocalSettings } from '@cranberryturn/settings';
import { startSidecarRole } from '@cranberryturn/sidecar';
import {
  type StandInTarget,
  startStandInTarget,
} from '@cranberryturn/stand-ins';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import {
  composeControlSettings,
  composeDispatcherSettings,
  composeSidecarSettings,
  listWorkers,
  type LocalLayout,
  type LocalWorker,
} from './compose-settings.js';
import {
  createMissingTokens,
  type LocalTokens,
} from './create-missing-tokens.js';
import { prepareLayout } from './prepare-layout.js';

const readyPollMilliseconds: Milliseconds = 20;
const readyTimeoutMilliseconds: Milliseconds = 30_000;

/** A running role with the name and the environment of its process. */
export interface LocalRole extends RunningRole {
  readonly name: string;
  readonly environment: RoleEnvironment;
}

/** A running role that gives access to its dispatcher. */
export type LocalDispatcher = LocalRole & DispatcherRole;

/** A worker with its stand-in target. */
export interface RunningWorker extends LocalWorker {
  readonly target: StandInTarget;
}

/** A running local system. */
export interface LocalSystem {
  readonly tokens: LocalTokens;
  readonly controlReplicas: readonly LocalRole[];
  readonly dispatchers: readonly LocalDispatcher[];
  readonly sidecars: readonly LocalRole[];
  readonly workers: readonly RunningWorker[];
  /** Stops all roles as planned (dispatchers, sidecars, control) and deletes temporary files. */
  stop(): Promise<void>;
}

/** Creates the environment of one role; tests replace it to observe the processes or inject faults. */
export type CreateEnvironment = typeof createRoleEnvironment;

interface SystemParts {
  readonly createEnvironment: CreateEnvironment;
  readonly settings: LocalSettings;
  readonly timers: TimerService;
  readonly layout: LocalLayout;
  readonly controlReplicas: LocalRole[];
  readonly dispatchers: LocalDispatcher[];
  readonly sidecars: LocalRole[];
  readonly workers: RunningWorker[];
}

/**
 * Starts the whole system and waits until every dispatcher knows every worker.
 *
 * After an error, or a TimeoutError when this takes longer than 30 seconds, all roles are stopped.
 */
export function startLocalSystem(
  givenSettings: LocalSettings,
  timers: TimerService,
  createEnvironment: CreateEnvironment = createRoleEnvironment,
): ResultAsync<LocalSystem, CranberryError> {
  return new ResultAsync(start(givenSettings, timers, createEnvironment));
}

async function start(
  givenSettings: LocalSettings,
  timers: TimerService,
  createEnvironment: CreateEnvironment,
): Promise<Result<LocalSystem, CranberryError>> {
  const { settings, tokens } = createMissingTokens(givenSettings);
  const { layout, remove } = await prepareLayout(settings);
  const parts: SystemParts = {
    createEnvironment,
    settings,
    timers,
    layout,
    controlReplicas: [],
    dispatchers: [],
    sidecars: [],
    workers: [],
  };
  const stop = async (): Promise<void> => {
    await stopParts(parts);
    remove();
  };
  const started = await startParts(parts);
  if (started.isErr()) {
    await stop();
    return err(started.error);
  }
  const { controlReplicas, dispatchers, sidecars, workers } = parts;
  return ok({
    tokens,
    controlReplicas,
    dispatchers,
    sidecars,
    workers,
    stop,
  });
}

async function startParts(
  parts: SystemParts,
): Promise<Result<void, CranberryError>> {
  const { settings, layout, timers } = parts;
  for (const control of composeControlSettings(settings, layout)) {
    const { replicaId, log } = control;
    const environment = parts.createEnvironment({
      role: 'control',
      process: replicaId,
      log,
      timers,
    });
    const role = await startControlRole(control, environment);
    if (role.isErr()) return err(role.error);
    parts.controlReplicas.push({ ...role.value, name: replicaId, environment });
  }
  for (const dispatcher of composeDispatcherSettings(settings, layout)) {
    const { dispatcherId, log } = dispatcher;
    const environment = parts.createEnvironment({
      role: 'dispatcher',
      process: dispatcherId,
      log,
      timers,
    });
    const role = await startDispatcherRole(dispatcher, environment);
    if (role.isErr()) return err(role.error);
    parts.dispatchers.push({ ...role.value, name: dispatcherId, environment });
  }
  for (const [index, worker] of listWorkers(settings).entries()) {
    const started = await startWorker(parts, worker, index);
    if (started.isErr()) return err(started.error);
  }
  return waitUntilReady(parts);
}

async function startWorker(
  parts: SystemParts,
  worker: LocalWorker,
  index: number,
): Promise<Result<void, CranberryError>> {
  const { settings, layout, timers } = parts;
  const target = await startStandInTarget({
    targetId: worker.targetId,
    timers,
    seed: settings.seed + index,
    runTime: settings.services.find(entry => entry.service === worker.service)
      ?.runTime,
  });
  parts.workers.push({ ...worker, target });
  const dispatchers = parts.dispatchers.flatMap(
    role => role.addresses['peers'] ?? [],
  );
  const sidecar = composeSidecarSettings(settings, layout, worker, {
    index,
    url: target.url,
    dispatchers,
  });
  const { targetId } = worker;
  const environment = parts.createEnvironment({
    role: 'sidecar',
    process: targetId,
    log: sidecar.log,
    timers,
  });
  const role = await startSidecarRole(sidecar, environment);
  return role.map(running => {
    parts.sidecars.push({ ...running, name: targetId, environment });
  });
}

async function waitUntilReady(
  parts: SystemParts,
): Promise<Result<void, CranberryError>> {
  const { timers, dispatchers, workers } = parts;
  const deadline = timers.now() + readyTimeoutMilliseconds;
  const isReady = (): boolean =>
    dispatchers.every(
      role =>
        role.dispatcher.isRegistered() && countTargets(role) === workers.length,
    );
  while (!isReady()) {
    if (timers.now() > deadline) return err(createNotReadyError(parts));
    await sleep(timers, readyPollMilliseconds);
  }
  return ok(undefined);
}

function countTargets({ dispatcher }: LocalDispatcher): number {
  return dispatcher.scheduler.status().targets.length;
}

function createNotReadyError({
  dispatchers,
  workers,
}: SystemParts): TimeoutError {
  const counts = dispatchers
    .map(role => {
      const state = role.dispatcher.isRegistered() ? '' : ' (not registered)';
      return `${role.name}${state} knows ${String(countTargets(role))}`;
    })
    .join(', ');
  return new TimeoutError(
    `Not every dispatcher is ready for the ${String(workers.length)} workers (${counts}) after ${String(readyTimeoutMilliseconds)} ms; start again with "log": { "level": "debug" } and look for the first error.`,
    { step: 'start local system' },
  );
}

async function stopParts(parts: SystemParts): Promise<void> {
  const { dispatchers, sidecars, controlReplicas, workers } = parts;
  for (const roles of [dispatchers, sidecars, controlReplicas]) {
    await Promise.all(roles.map(role => role.stop()));
  }
  await Promise.all(workers.map(worker => worker.target.close()));
  for (const { environment } of [
    ...dispatchers,
    ...sidecars,
    ...controlReplicas,
  ]) {
    await closeRoleEnvironment(environment);
  }
}

/** Formats the base URL of an HTTP listener; an IPv6 address stands in brackets. */
export function formatUrl({ address, port }: NetworkAddress): string {
  const host = address.includes(':') ? `[${address}]` : address;
  return `http://${host}:${String(port)}`;
}

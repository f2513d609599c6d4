/** Starts a system of separate processes on the loopback address, with stand-in targets in this process. */

import {
  composeControlSettings,
  composeDispatcherSettings,
  composeSidecarSettings,
  createMissingTokens,
  listWorkers,
  type LocalLayout,
  prepareLayout,
} from '@cranberryturn/local';
import {
  type LocalSettings,
  localSettingsSchema,
} from '@cranberryturn/settings';
import {
  type StandInTarget,
  startStandInTarget,
} from '@cranberryturn/stand-ins';
import {
  createSystemTimerService,
  sleep,
  type TimerService,
} from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { request } from 'undici';

import {
  ProcessKind,
  type StartedProcess,
  startProcess,
} from './start-process.js';

/** Name of the only service; all workers belong to it. */
export const processService = 'register-svc';

const pollMilliseconds: Milliseconds = 25;
const okStatus = 200;

/** Size of a system of processes. */
export interface ProcessSystemOptions {
  readonly seed: number;
  readonly controls: number;
  readonly dispatchers: number;
  readonly workers: number;
  /** Clock of the stand-in targets; a manual one lets a test end tasks. */
  readonly targetTimers: TimerService;
}

/** A running system of processes. */
export interface ProcessSystem {
  /** Bearer token of the only team. */
  readonly token: string;
  readonly controls: readonly StartedProcess[];
  readonly dispatchers: readonly StartedProcess[];
  readonly sidecars: readonly StartedProcess[];
  readonly targets: readonly StandInTarget[];
  /** Kills every process and removes its files. */
  kill(): Promise<void>;
}

/** Starts the processes and waits until every dispatcher is ready and knows every worker. */
export async function startProcessSystem(
  options: ProcessSystemOptions,
): Promise<ProcessSystem> {
  const { settings, tokens } = createMissingTokens(composeSettings(options));
  const { layout, remove } = await prepareLayout(settings);
  const started: StartedProcess[] = [];
  const targets: StandInTarget[] = [];
  const kill = async (): Promise<void> => {
    for (const one of started) one.signal('SIGKILL');
    await Promise.all(started.map(one => one.exited));
    await Promise.all(targets.map(one => one.close()));
    remove();
  };
  const start = async (
    kind: ProcessKind,
    name: string,
    content: unknown,
  ): Promise<StartedProcess> => {
    const one = await startProcess(kind, name, content, layout.folder);
    started.push(one);
    return one;
  };
  try {
    const controls = await Promise.all(
      composeControlSettings(settings, layout).map(one =>
        start(ProcessKind.Control, one.replicaId, one),
      ),
    );
    const dispatchers = await Promise.all(
      composeDispatcherSettings(settings, layout).map(one =>
        start(ProcessKind.Dispatcher, one.dispatcherId, one),
      ),
    );
    const peers = dispatchers.map(one => getAddress(one, 'peers'));
    const sidecars = await Promise.all(
      listWorkers(settings).map(async (worker, index) => {
        const target = await startStandInTarget({
          targetId: worker.targetId,
          timers: options.targetTimers,
          seed: options.seed + index,
        });
        targets.push(target);
        const place = { index, url: target.url, dispatchers: peers };
        const content = composeProcessSidecarSettings(
          settings,
          layout,
          worker,
          place,
        );
        return start(ProcessKind.Sidecar, worker.targetId, content);
      }),
    );
    await Promise.all(dispatchers.map(one => waitForWorkers(one, options)));
    const token = tokens.team ?? '';
    return { token, controls, dispatchers, sidecars, targets, kill };
  } catch (error) {
    await kill();
    throw error;
  }
}

/** Returns the address on which a process listens for `purpose`. Throws when there is none. */
export function getAddress(
  { name, addresses }: StartedProcess,
  purpose: string,
): NetworkAddress {
  const address = addresses.get(purpose);
  if (address === undefined) {
    throw new Error(`${name} does not listen for ${purpose}.`);
  }
  return address;
}

/** Returns the base URL of a process for `purpose`. */
export function getUrl(process: StartedProcess, purpose: string): string {
  const { address, port } = getAddress(process, purpose);
  return `http://${address}:${String(port)}`;
}

/** Reads one value of `/metrics`, by its name without prefix; undefined when it is absent. */
export async function readMetric(
  url: string,
  name: string,
): Promise<number | undefined> {
  const response = await request(`${url}/metrics`);
  const text = await response.body.text();
  const line = text
    .split('\n')
    .find(one => one.startsWith(`cranberry_${name}{`));
  return line === undefined ? undefined : Number(line.split(' ').at(-1));
}

/** Waits until one of the control replicas is leader and returns it. */
export async function findLeader(
  controls: readonly StartedProcess[],
): Promise<StartedProcess> {
  let leader: StartedProcess | undefined;
  await waitUntil(async () => {
    for (const control of controls) {
      const url = getUrl(control, 'administration');
      if ((await readMetric(url, 'leading')) === 1) leader = control;
    }
    return leader !== undefined;
  });
  if (leader === undefined) throw new Error('No control replica leads.');
  return leader;
}

/** Polls `isDone` until it returns true. Has no timeout of its own. */
export async function waitUntil(
  isDone: () => boolean | Promise<boolean>,
): Promise<void> {
  const timers = createSystemTimerService();
  while (!(await isDone())) await sleep(timers, pollMilliseconds);
}

function composeSettings({
  seed,
  controls,
  dispatchers,
  workers,
}: ProcessSystemOptions): LocalSettings {
  const callers = { address: '127.0.0.1', port: 0 };
  return localSettingsSchema.parse({
    seed,
    controlReplicas: controls,
    dispatchers: Array.from({ length: dispatchers }, () => callers),
    services: [
      {
        service: processService,
        racks: [{ rack: 'rack-1', dataCentre: 'dong-da', workers }],
        resources: { processors: 64, memoryMebibytes: 131_072 },
      },
    ],
    log: { level: 'warn' },
  });
}

function composeProcessSidecarSettings(
  settings: LocalSettings,
  places: LocalLayout,
  worker: Parameters<typeof composeSidecarSettings>[2],
  place: Parameters<typeof composeSidecarSettings>[3],
) {
  const { stop, ...composed } = composeSidecarSettings(
    settings,
    places,
    worker,
    place,
  );
  // The local settings give sidecars no time to stop, because in one process they stop last. Separate processes need the default of the schema.
  void stop;
  return composed;
}

async function waitForWorkers(
  dispatcher: StartedProcess,
  { workers }: ProcessSystemOptions,
): Promise<void> {
  const url = getUrl(dispatcher, 'callers');
  await waitUntil(async () => {
    const ready = await request(`${url}/readyz`);
    await ready.body.dump();
    if (ready.statusCode !== okStatus) return false;
    return (await readMetric(url, 'targets_known')) === workers;
  });
}

/** Dispatchers of transient jobs, with gates and workers in memory, and what must always hold of them. */
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import type { QueueConfiguration, WorkerRun } from '@cranberryturn/types';
import {
  createMemoryNetwork,
  type MemoryNetwork,
  ProcessRole,
} from '@cranberryturn/wire';
import {
  createFakeWorker,
  type FakeWorker,
  startWorkerGate,
  type WorkerGate,
} from '@cranberryturn/worker-gate';

import { TransientJobs } from '../create-transient-jobs.js';
import type { JobStep, TransientJob } from '../transient-job.js';

const firstPort = 7_700;
const address = '10.0.0.1';
const times = { heartbeatMilliseconds: 300, suspicionMilliseconds: 700 };
const networkDelay = 1;
const checkInterval = 5;

/** What each task of these tests needs. */
export const oneProcessor = {
  processors: 1,
  memoryMebibytes: 64,
  accelerators: 0,
};

/** One worker with the sidecar process beside it. */
export interface FakeHost {
  readonly name: string;
  worker: FakeWorker;
  gate: WorkerGate;
  /** Kills the sidecar and starts it again; the worker reports to it. */
  restartSidecar(): Promise<void>;
  /** Ends the life of the worker and starts another. */
  restartWorker(): void;
}

/** One dispatcher process. */
export interface FakeDispatcher {
  readonly name: string;
  jobs: TransientJobs;
  /** Ends the process without notice and starts another. */
  restart(): Promise<void>;
}

/** What a test holds. */
export interface JobsFixture {
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  readonly dispatchers: readonly FakeDispatcher[];
  readonly hosts: readonly FakeHost[];
  /** Tasks that were at work twice at the same time, or workers filled beyond their capacity. */
  readonly violations: string[];
}

/** The queue of these tests. */
export function describeQueue(
  overrides: Partial<QueueConfiguration> = {},
): QueueConfiguration {
  return {
    queue: 'lookups',
    host: 'register.example',
    pathPrefix: '/lookups/',
    service: 'register',
    priority: 1,
    maximumFailures: 2,
    slackFactor: 1.6,
    targetLatencyMilliseconds: 60,
    ...overrides,
  };
}

/** A job of tasks that need one processor each. */
export function describeJob(
  jobId: string,
  tasks: number,
  overrides: Partial<TransientJob> & { readonly step?: Partial<JobStep> } = {},
): TransientJob {
  const { step, ...rest } = overrides;
  return {
    jobId,
    requestId: jobId,
    queue: describeQueue(),
    specification: 'text',
    steps: [
      {
        tasks,
        need: oneProcessor,
        estimatedMilliseconds: 100,
        after: [],
        ...step,
      },
    ],
    deadlineMilliseconds: 5_000,
    heldMilliseconds: 0,
    ...rest,
  };
}

/** Starts the processes and connects them. */
export async function startJobsFixture(options: {
  readonly dispatchers: number;
  readonly workers: number;
  readonly processors: number;
}): Promise<JobsFixture> {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, networkDelay);
  const violations: string[] = [];
  const dispatchers: FakeDispatcher[] = [];
  for (let number = 0; number < options.dispatchers; number += 1) {
    dispatchers.push(await startDispatcher(timers, network, number));
  }
  const hosts = Array.from({ length: options.workers }, (_, number) =>
    startHost(timers, network, number, options),
  );
  timers.every(checkInterval, () => {
    checkWorkers(hosts, options.processors, violations);
  });
  await timers.advance(300);
  return { timers, network, dispatchers, hosts, violations };
}

function checkWorkers(
  hosts: readonly FakeHost[],
  processors: number,
  violations: string[],
): void {
  const seen = new Set<string>();
  for (const { worker, name } of hosts) {
    if (worker.activeRuns.size > processors)
      violations.push(`${name} is over its capacity`);
    for (const task of worker.activeRuns.keys()) {
      if (seen.has(task)) violations.push(`${task} is at work twice`);
      seen.add(task);
    }
  }
}

async function startDispatcher(
  timers: ManualTimerService,
  network: MemoryNetwork,
  number: number,
): Promise<FakeDispatcher> {
  const name = `dispatcher-${String(number)}`;
  let lives = 0;
  let closeListener: () => Promise<void> = () => Promise.resolve();

  const start = async (): Promise<TransientJobs> => {
    lives += 1;
    const jobs = new TransientJobs({
      dispatcherId: name,
      dataCentre: 'dong-da',
      timers,
      random: createRandomSource(number * 100 + lives),
      times,
      logger: createSilentLogger(),
      metrics: createMetrics({ role: 'dispatcher', process: name, timers }),
      remoteFactor: 1.5,
      listDispatchers: () => [],
    });
    const listener = await network
      .join({
        role: ProcessRole.Dispatcher,
        name,
        incarnation: `${name}/${String(lives)}`,
      })
      .listen({ address, port: firstPort + number }, connection => {
        jobs.accept(connection);
      });
    closeListener = () => listener._unsafeUnwrap().close();
    return jobs;
  };

  const dispatcher: FakeDispatcher = {
    name,
    jobs: await start(),
    restart: async () => {
      dispatcher.jobs.workers.close();
      await closeListener();
      dispatcher.jobs = await start();
    },
  };
  return dispatcher;
}

function startHost(
  timers: ManualTimerService,
  network: MemoryNetwork,
  number: number,
  options: { readonly dispatchers: number; readonly processors: number },
): FakeHost {
  const name = `sidecar-${String(number)}`;
  let lives = 0;
  let processes = 0;
  let sequence = 0;

  const startWorker = (): FakeWorker => {
    lives += 1;
    const run: WorkerRun = {
      workerId: `worker-${String(number)}`,
      incarnation: `worker-${String(number)}@${String(lives)}`,
      service: 'register',
      capacity: {
        processors: options.processors,
        memoryMebibytes: 65_536,
        accelerators: 0,
      },
      labels: [`rack-${String(number % 2)}`],
      dataCentre: 'dong-da',
    };
    return createFakeWorker({ timers, run, need: oneProcessor });
  };

  const startGate = (): WorkerGate => {
    processes += 1;
    return startWorkerGate({
      network: network.join({
        role: ProcessRole.Sidecar,
        name,
        incarnation: `${name}/${String(processes)}`,
      }),
      seeds: Array.from({ length: options.dispatchers }, (_, dispatcher) => ({
        address,
        port: firstPort + dispatcher,
      })),
      timers,
      random: createRandomSource(1_000 + number * 100 + processes),
      times,
      logger: createSilentLogger(),
      metrics: createMetrics({ role: 'sidecar', process: name, timers }),
      leaseMilliseconds: 1_000,
      openWorker: () => host.worker.port,
    });
  };

  const report = (): void => {
    sequence += 1;
    host.gate.workerReported({
      worker: host.worker.run,
      bornAt: lives,
      sequence,
      draining: false,
    });
  };

  const host: FakeHost = {
    name,
    worker: startWorker(),
    gate: startGate(),
    restartSidecar: async () => {
      for (const connection of network.connections) {
        if (connection.from === name) connection.cut();
      }
      host.gate.kill();
      await timers.advance(10);
      host.gate = startGate();
      report();
    },
    restartWorker: () => {
      host.worker.crash();
      host.worker = startWorker();
      report();
    },
  };
  report();
  return host;
}

/** The item at a place that a test knows to exist. */
export function pick<Item>(items: readonly Item[], place: number): Item {
  const item = items[place];
  if (item === undefined) throw new Error(`there is no item ${String(place)}`);
  return item;
}

export function first<Item>(items: readonly Item[]): Item {
  return pick(items, 0);
}

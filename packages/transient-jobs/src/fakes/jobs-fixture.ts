/** Test fixture: dispatchers of transient jobs with in-memory sidecars and workers, and a check of their invariants. */
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import type { DispatcherList, WorkerRun } from '@cranberryturn/types';
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

import type { ScarcitySettings } from '../scarcity/scarcity-settings.js';
import { TransientJobs } from '../transient-jobs.js';
import { oneProcessor } from './create-job.js';

export { createJob, createQueue, oneProcessor } from './create-job.js';

const firstPort = 7_700;
const address = '10.0.0.1';
const times = { heartbeatMilliseconds: 300, suspicionMilliseconds: 700 };
const networkDelayMilliseconds = 1;
const checkIntervalMilliseconds = 5;

/** One worker and its sidecar process. */
export interface FakeHost {
  readonly name: string;
  worker: FakeWorker;
  gate: WorkerGate;
  /** Kills the sidecar process and starts a new one, to which the worker reports. */
  restartSidecar(): Promise<void>;
  /** Crashes the worker and starts a new incarnation. */
  restartWorker(): void;
}

/** One dispatcher process. */
export interface FakeDispatcher {
  readonly name: string;
  jobs: TransientJobs;
  /** Crashes the process and starts a new one. */
  restart(): Promise<void>;
}

/** The processes of a test. */
export interface JobsFixture {
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  readonly dispatchers: readonly FakeDispatcher[];
  readonly hosts: readonly FakeHost[];
  /** Violated invariants: tasks with two active runs, or workers beyond their capacity. */
  readonly violations: string[];
  /** Changes the list of dispatchers, as after a change of the roster: those at the given positions. */
  listDispatchers(positions: readonly number[]): void;
}

/** Starts the processes and connects them. */
export async function startJobsFixture(options: {
  readonly dispatchers: number;
  readonly workers: number;
  /** Processors of each worker, or of the worker at a position. */
  readonly processors: number | ((position: number) => number);
  /** Number of dispatchers that sidecars dial first; all by default. */
  readonly seeds?: number | undefined;
  /** Settings of admission under scarcity; disabled by default. */
  readonly scarcity?: ScarcitySettings | undefined;
}): Promise<JobsFixture> {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, networkDelayMilliseconds);
  const violations: string[] = [];
  const dispatchers: FakeDispatcher[] = [];
  let list: DispatcherList = { version: 0, dispatchers: [] };
  for (let number = 0; number < options.dispatchers; number += 1) {
    dispatchers.push(
      await startDispatcher(
        timers,
        network,
        number,
        () => list,
        options.scarcity,
      ),
    );
  }
  const hosts = Array.from({ length: options.workers }, (_, number) =>
    startHost(timers, network, number, options),
  );
  timers.every(checkIntervalMilliseconds, () => {
    checkWorkers(hosts, violations);
  });
  await timers.advance(300);
  return {
    timers,
    network,
    dispatchers,
    hosts,
    violations,
    listDispatchers: positions => {
      list = {
        version: list.version + 1,
        dispatchers: positions.map(number => ({
          dispatcherId: `dispatcher-${String(number)}`,
          address: { address, port: firstPort + number },
        })),
      };
      for (const { jobs } of dispatchers) jobs.workers.sendDispatcherList();
    },
  };
}

function checkWorkers(hosts: readonly FakeHost[], violations: string[]): void {
  const seen = new Set<string>();
  for (const { worker, name } of hosts) {
    if (worker.activeRuns.size > worker.run.capacity.processors)
      violations.push(`${name} exceeds its capacity`);
    for (const task of worker.activeRuns.keys()) {
      if (seen.has(task)) violations.push(`${task} has two active runs`);
      seen.add(task);
    }
  }
}

async function startDispatcher(
  timers: ManualTimerService,
  network: MemoryNetwork,
  number: number,
  listDispatchers: () => DispatcherList,
  scarcity: ScarcitySettings | undefined,
): Promise<FakeDispatcher> {
  const name = `dispatcher-${String(number)}`;
  let processes = 0;
  let closeListener: () => Promise<void> = () => Promise.resolve();

  const start = async (): Promise<TransientJobs> => {
    processes += 1;
    const jobs = new TransientJobs({
      dispatcherId: name,
      dataCentre: 'dong-da',
      timers,
      random: createRandomSource(number * 100 + processes),
      times,
      logger: createSilentLogger(),
      metrics: createMetrics({ role: 'dispatcher', process: name, timers }),
      remoteFactor: 1.5,
      listDispatchers,
      scarcity,
    });
    const listener = await network
      .join({
        role: ProcessRole.Dispatcher,
        name,
        incarnation: `${name}/${String(processes)}`,
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
  options: {
    readonly dispatchers: number;
    readonly processors: number | ((position: number) => number);
    readonly seeds?: number | undefined;
    readonly scarcity?: ScarcitySettings | undefined;
  },
): FakeHost {
  const name = `sidecar-${String(number)}`;
  let incarnations = 0;
  let processes = 0;
  let sequence = 0;

  const startWorker = (): FakeWorker => {
    incarnations += 1;
    const run: WorkerRun = {
      workerId: `worker-${String(number)}`,
      incarnation: `worker-${String(number)}@${String(incarnations)}`,
      service: 'register',
      capacity: {
        processors:
          typeof options.processors === 'number'
            ? options.processors
            : options.processors(number),
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
      name,
      network: network.join({
        role: ProcessRole.Sidecar,
        name,
        incarnation: `${name}/${String(processes)}`,
      }),
      seeds: Array.from(
        { length: options.seeds ?? options.dispatchers },
        (_, dispatcher) => ({
          address,
          port: firstPort + dispatcher,
        }),
      ),
      timers,
      random: createRandomSource(1_000 + number * 100 + processes),
      times,
      logger: createSilentLogger(),
      metrics: createMetrics({ role: 'sidecar', process: name, timers }),
      leaseMilliseconds: 1_000,
      reportsStartedWork: options.scarcity !== undefined,
      openWorker: () => host.worker.port,
    });
  };

  const report = (): void => {
    sequence += 1;
    host.gate.workerReported({
      worker: host.worker.run,
      bornAt: incarnations,
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
        if (connection.from === name) connection.disconnect();
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

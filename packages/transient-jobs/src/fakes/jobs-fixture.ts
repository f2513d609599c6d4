/** Test fixture: dispatchers of transient jobs with in-memory sidecars and workers, and a check of their invariants. */
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics, type Metrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import {
  type DispatcherList,
  type EvacuationState,
  type Milliseconds,
  noEvacuations,
} from '@cranberryturn/types';
import {
  createMemoryNetwork,
  createSuspension,
  type MemoryNetwork,
  ProcessEnd,
  ProcessRole,
  type Suspension,
} from '@cranberryturn/wire';

import type { ScarcitySettings } from '../scarcity/scarcity-settings.js';
import { TransientJobs } from '../transient-jobs.js';
import {
  address,
  type FakeHost,
  firstPort,
  startHost,
  times,
} from './fake-host.js';

export { createJob, createQueue, oneProcessor } from './create-job.js';
export type { FakeHost };

const networkDelayMilliseconds = 1;
const checkIntervalMilliseconds = 5;
/** Time until all sidecars have received a list and chosen a coordinator that counts as settled. */
const settleMilliseconds = 4_000;

/** One dispatcher process. */
export interface FakeDispatcher {
  readonly name: string;
  jobs: TransientJobs;
  /** Metrics of all its processes. */
  readonly metrics: Metrics;
  /** Suspends the process, which then receives what was sent to it meanwhile. */
  readonly suspension: Suspension;
  /** What control has told the process. */
  control: { state: EvacuationState; isProved: boolean };
  /** Tells the process a state that control has proved. */
  hear(state: EvacuationState): void;
  /** Whether the process runs. */
  readonly isUp: boolean;
  /** Kills the process. */
  kill(end: ProcessEnd, closeDelay: Milliseconds): void;
  /** Starts a process whose monotonic clock shows `clockStart`, and which control has told nothing. */
  start(clockStart: Milliseconds): Promise<void>;
  /** Crashes the process and starts a new one, which control has told nothing. */
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
  /** Changes the evacuated data centres at control; dispatchers at other positions are cut off from it. Returns its state. */
  evacuate(
    dataCentres: readonly string[],
    heardAt?: readonly number[],
  ): EvacuationState;
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
  /** Data centres of the workers in turn; where undefined, evacuations are off and all workers are in one. */
  readonly dataCentres?: readonly string[] | undefined;
  /** Rate of the clocks of the workers, below 1 for slow ones; 1 by default. */
  readonly clockRate?: number | undefined;
}): Promise<JobsFixture> {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, networkDelayMilliseconds);
  const violations: string[] = [];
  const dispatchers: FakeDispatcher[] = [];
  let list: DispatcherList = { version: 0, dispatchers: [] };
  let evacuationVersion = 0;
  const hasEvacuations = options.dataCentres !== undefined;
  for (let number = 0; number < options.dispatchers; number += 1) {
    dispatchers.push(
      await startDispatcher(
        timers,
        network,
        number,
        () => list,
        options.scarcity,
        hasEvacuations,
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
      for (const { jobs } of dispatchers)
        jobs.workers.dispatcherList.schedule();
    },
    evacuate: (dataCentres, heardAt) => {
      evacuationVersion += 1;
      const since = timers.wallClock();
      const evacuations = dataCentres.map(dataCentre => ({
        dataCentre,
        since,
      }));
      const state = { version: evacuationVersion, evacuations };
      dispatchers.forEach((dispatcher, position) => {
        if (heardAt?.includes(position) === false)
          dispatcher.control.isProved = false;
        else dispatcher.hear(state);
      });
      return state;
    },
  };
}

/** Tells all sidecars the dispatchers, upon which they choose coordinators. */
export async function listAllDispatchers({
  dispatchers,
  listDispatchers,
  timers,
}: JobsFixture): Promise<void> {
  listDispatchers(dispatchers.map((_, position) => position));
  await timers.advance(settleMilliseconds);
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
  hasEvacuations: boolean,
): Promise<FakeDispatcher> {
  const name = `dispatcher-${String(number)}`;
  const metrics = createMetrics({
    role: 'dispatcher',
    process: name,
    timers,
  });
  let processes = 0;
  let suspension = createSuspension(timers);

  let control = { state: noEvacuations, isProved: true };
  const start = async (): Promise<TransientJobs> => {
    processes += 1;
    const known = control;
    const identity = suspension.wrapNetwork(
      network.join({
        role: ProcessRole.Dispatcher,
        name,
        incarnation: `${name}/${String(processes)}`,
      }),
    );
    const jobs = new TransientJobs({
      dispatcherId: name,
      dataCentre: 'dong-da',
      timers: suspension.timers,
      random: createRandomSource(number * 100 + processes),
      times,
      logger: createSilentLogger(),
      metrics,
      network: identity,
      remoteFactor: 1.5,
      listDispatchers,
      scarcity,
      evacuations: hasEvacuations
        ? { current: () => known.state, isProved: () => known.isProved }
        : undefined,
    });
    await identity.listen({ address, port: firstPort + number }, connection => {
      if (connection.peer.role === ProcessRole.Dispatcher)
        jobs.acceptDispatcher(connection);
      else jobs.accept(connection);
    });
    return jobs;
  };

  const dispatcher: FakeDispatcher = {
    name,
    metrics,
    jobs: await start(),
    get suspension() {
      return suspension;
    },
    control,
    hear: state => {
      Object.assign(dispatcher.control, { state, isProved: true });
      dispatcher.jobs.workers.evacuations.applyChange();
    },
    get isUp() {
      return !suspension.hasEnded;
    },
    kill: (end, closeDelay) => {
      suspension.end();
      network.endProcess(name, end, closeDelay);
      dispatcher.jobs.workers.close();
    },
    start: async clockStart => {
      suspension = createSuspension(timers, clockStart);
      control = { state: noEvacuations, isProved: false };
      dispatcher.control = control;
      dispatcher.jobs = await start();
    },
    restart: async () => {
      dispatcher.kill(ProcessEnd.Reset, 0);
      await dispatcher.start(timers.now());
    },
  };
  return dispatcher;
}

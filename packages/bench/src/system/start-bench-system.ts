/** Starts a system of the size of a deployment, with all roles in this process over loopback. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { ControlNode } from '@cranberryturn/control';
import type { Sidecar } from '@cranberryturn/sidecar';
import {
  type StandInTarget,
  startStandInTarget,
} from '@cranberryturn/stand-ins';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  ClusterConfiguration,
  DecisionRecord,
  Milliseconds,
  TargetAnnouncement,
  TeamName,
} from '@cranberryturn/types';
import { ProcessRole } from '@cranberryturn/wire';

import type { DeploymentShape } from '../load/deployment-shape.js';
import {
  type BenchContext,
  type BenchTeam,
  createBenchContext,
  createTeams,
} from './bench-context.js';
import type { SentTraffic } from './count-sent-frames.js';
import {
  type BenchDispatcher,
  type SchedulerFactory,
  startBenchControl,
  startBenchDispatcher,
  startBenchSidecar,
} from './start-bench-roles.js';

/** Size and settings of a measured system. */
export interface BenchSystemOptions {
  readonly shape: DeploymentShape;
  readonly dispatchers: number;
  readonly seed: number;
  readonly timers: TimerService;
  readonly createScheduler?: SchedulerFactory | undefined;
}

/** One worker: a stand-in target and a real sidecar. */
export interface BenchWorker {
  readonly target: StandInTarget;
  readonly sidecar: Sidecar;
}

/** A running system; workers are given by position. */
export interface BenchSystem {
  /** Base URLs of the dispatchers for callers. */
  readonly urls: readonly string[];
  readonly workers: readonly BenchWorker[];
  readonly dispatchers: readonly BenchDispatcher[];
  readonly control: ControlNode;
  readonly records: readonly DecisionRecord[];
  getToken(team: TeamName): string;
  /** Returns the frames sent so far by all processes of a role. */
  getSentTraffic(role: ProcessRole): SentTraffic;
  /** Kills the target and the sidecar of a worker. */
  killWorker(position: number): Promise<void>;
  /** Makes the open connections of a process silent permanently; new ones work. */
  silenceConnections(process: string): void;
  stop(): Promise<void>;
}

const startTimeoutMilliseconds: Milliseconds = 20_000;
const pollMilliseconds: Milliseconds = 20;

/** Starts a system and waits until every dispatcher knows every worker. Throws after 20 s. */
export async function startBenchSystem(
  options: BenchSystemOptions,
): Promise<BenchSystem> {
  const { shape, seed, timers } = options;
  const context = createBenchContext(timers);
  const teams = createTeams(shape.requests.map(one => one.team));
  const folder = await mkdtemp(join(tmpdir(), 'cranberry-bench-'));
  const control = await startBenchControl(
    context,
    folder,
    seed,
    composeConfiguration(shape, teams),
  );
  const dispatchers = await Promise.all(
    Array.from({ length: options.dispatchers }, (_, position) =>
      startBenchDispatcher(context, {
        dispatcherId: `dispatcher-${String(position + 1)}`,
        controlAddress: control.address,
        teams,
        seed: seed + position,
        createScheduler: options.createScheduler,
      }),
    ),
  );
  const workers = await startWorkers(context, options, dispatchers);
  await waitForTargets(timers, dispatchers, shape.workers);
  return {
    urls: dispatchers.map(({ dispatcher }) => {
      const { address, port } = dispatcher.callersAddress;
      return `http://${address}:${String(port)}`;
    }),
    workers,
    dispatchers,
    control,
    records: context.records,
    getToken: team => teams.find(one => one.team === team)?.token ?? '',
    getSentTraffic: role => ({
      ...(context.sent.get(role) ?? { frames: 0, bytes: 0 }),
    }),
    silenceConnections: context.silenceConnections,
    killWorker: async position => {
      const worker = workers[position];
      worker?.sidecar.kill();
      await worker?.target.close();
    },
    stop: async () => {
      for (const { sidecar, target } of workers) {
        sidecar.kill();
        await target.close();
      }
      for (const one of dispatchers) {
        one.dispatcher.kill();
        await one.control.stop();
      }
      await control.stop();
      await rm(folder, { recursive: true, force: true });
    },
  };
}

/** Composes the announcement of the worker at a position. */
export function composeAnnouncement(
  shape: DeploymentShape,
  position: number,
): TargetAnnouncement {
  const rack = Math.floor(position / shape.workersPerRack);
  const dataCentre = shape.dataCentres[rack % shape.dataCentres.length];
  return {
    targetId: `${shape.name}-worker-${String(position + 1)}`,
    incarnation: 'run-1',
    service: shape.service,
    host: `${shape.name}-host-${String(position + 1)}`,
    rack: `${shape.name}-rack-${String(rack + 1)}`,
    dataCentre: dataCentre ?? 'none',
    resources: {
      processors: shape.processorsPerWorker,
      memoryMebibytes: shape.memoryMebibytesPerWorker,
      accelerators: 0,
    },
    slots: shape.slotsPerWorker,
    connections: shape.connectionsPerWorker,
  };
}

async function startWorkers(
  context: BenchContext,
  { shape, seed, timers }: BenchSystemOptions,
  dispatchers: readonly BenchDispatcher[],
): Promise<readonly BenchWorker[]> {
  const addresses = dispatchers.map(one => one.dispatcher.peersAddress);
  return Promise.all(
    Array.from({ length: shape.workers }, async (_, position) => {
      const announcement = composeAnnouncement(shape, position);
      const { targetId } = announcement;
      const target = await startStandInTarget({
        targetId,
        timers,
        seed: seed + position,
      });
      const sidecar = startBenchSidecar(
        context,
        announcement,
        target.url,
        addresses,
        seed + position,
      );
      return { target, sidecar };
    }),
  );
}

async function waitForTargets(
  timers: TimerService,
  dispatchers: readonly BenchDispatcher[],
  wanted: number,
): Promise<void> {
  const limit = timers.now() + startTimeoutMilliseconds;
  const isComplete = ({ dispatcher }: BenchDispatcher): boolean =>
    dispatcher.isRegistered() &&
    dispatcher.scheduler.status().targets.length >= wanted;
  while (!dispatchers.every(isComplete)) {
    if (timers.now() > limit) {
      throw new Error('Not every dispatcher knew every worker within 20 s.');
    }
    await sleep(timers, pollMilliseconds);
  }
}

function composeConfiguration(
  shape: DeploymentShape,
  teams: readonly BenchTeam[],
): Omit<ClusterConfiguration, 'version'> {
  return {
    services: [
      {
        service: shape.service,
        queueLimit: 10_000,
        defaultDeadlineMilliseconds: 30_000,
        retryBudgetPercent: 20,
      },
    ],
    teams: teams.map(({ team }) => ({ team, weight: 1 })),
    workers: [],
    drainedRacks: [],
    drainedDataCentres: [],
    controlHosts: [],
  };
}

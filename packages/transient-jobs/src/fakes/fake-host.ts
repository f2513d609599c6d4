/** One worker of a test, and its sidecar process. */
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import type { ManualTimerService } from '@cranberryturn/timers';
import type { Milliseconds, WorkerRun } from '@cranberryturn/types';
import {
  createSuspension,
  type MemoryNetwork,
  ProcessEnd,
  ProcessRole,
  type Suspension,
} from '@cranberryturn/wire';
import {
  createFakeWorker,
  type FakeWorker,
  openIncarnationPort,
  startWorkerGate,
  type WorkerGate,
} from '@cranberryturn/worker-gate';

import type { ScarcitySettings } from '../scarcity/scarcity-settings.js';
import { oneProcessor } from './create-job.js';
import { wrapWorker } from './wrap-worker.js';

/** Address of all dispatchers. */
export const address = '10.0.0.1';
/** Port of the first dispatcher; the others follow. */
export const firstPort = 7_700;
export const times = { heartbeatMilliseconds: 300, suspicionMilliseconds: 700 };

/** One worker and its sidecar process. */
export interface FakeHost {
  readonly name: string;
  worker: FakeWorker;
  gate: WorkerGate;
  /** Suspends the sidecar process while true; it then receives what was sent to it meanwhile. */
  suspension: Suspension;
  /** Whether the sidecar process runs. */
  readonly isUp: boolean;
  /** Orders of the sidecar reach the worker after a random time of up to this, also when it has been killed meanwhile. */
  maximumOrderDelay: Milliseconds;
  /** Kills the sidecar process. The worker and its runs go on. */
  killSidecar(end: ProcessEnd, closeDelay: Milliseconds): void;
  /** Starts a sidecar process whose monotonic clock shows `clockStart`; the worker does not report to it yet. */
  startSidecar(clockStart: Milliseconds): void;
  /** Kills the sidecar process and starts a new one, to which the worker reports. */
  restartSidecar(): Promise<void>;
  /** Crashes the worker and starts a new incarnation. */
  restartWorker(): void;
  /** Crashes the worker and starts a new incarnation, which does not report yet. */
  restartUnnoticed(): void;
  /** Sends a report of the worker. */
  report(): void;
  /** Sends a report that another writer composed, under its own id or under that of the worker. */
  reportOther(isSameId: boolean): void;
  /** Changes the processors that the worker reports while it runs. */
  resize(processors: number): void;
}

/** Starts a worker and its sidecar, which dials the dispatchers. */
export function startHost(
  timers: ManualTimerService,
  network: MemoryNetwork,
  number: number,
  options: {
    readonly dispatchers: number;
    readonly processors: number | ((position: number) => number);
    readonly seeds?: number | undefined;
    readonly dataCentres?: readonly string[] | undefined;
    readonly scarcity?: ScarcitySettings | undefined;
    readonly clockRate?: number | undefined;
  },
): FakeHost {
  const name = `sidecar-${String(number)}`;
  let incarnations = 0;
  let processes = 0;
  let sequence = 0;
  const { dataCentres = ['dong-da'] } = options;
  const random = createRandomSource(number);
  let suspension = createSuspension(timers);

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
      dataCentre: dataCentres[number % dataCentres.length] ?? '',
    };
    return createFakeWorker({
      timers,
      run,
      need: oneProcessor,
      clockRate: options.clockRate,
    });
  };

  const startGate = (): WorkerGate => {
    processes += 1;
    return startWorkerGate({
      name,
      network: suspension.wrapNetwork(
        network.join({
          role: ProcessRole.Sidecar,
          name,
          incarnation: `${name}/${String(processes)}`,
        }),
      ),
      seeds: Array.from(
        { length: options.seeds ?? options.dispatchers },
        (_, dispatcher) => ({
          address,
          port: firstPort + dispatcher,
        }),
      ),
      timers: suspension.timers,
      random: createRandomSource(1_000 + number * 100 + processes),
      times,
      logger: createSilentLogger(),
      metrics: createMetrics({ role: 'sidecar', process: name, timers }),
      evacuations: options.dataCentres !== undefined,
      reportsStartedWork: options.scarcity !== undefined,
      openWorker: expected =>
        wrapWorker(
          suspension,
          openIncarnationPort(expected, () => host.worker),
          timers,
          () => random.below(host.maximumOrderDelay + 1),
        ),
      openUnreportedWorker: () =>
        wrapWorker(suspension, host.worker.port, timers, () =>
          random.below(host.maximumOrderDelay + 1),
        ),
    });
  };

  const report = (processors?: number): void => {
    if (suspension.hasEnded) return;
    sequence += 1;
    const { run } = host.worker;
    const capacity = {
      ...run.capacity,
      processors: processors ?? run.capacity.processors,
    };
    host.gate.workerReported({
      worker: { ...run, capacity },
      bornAt: incarnations,
      sequence,
      draining: false,
    });
  };

  const host: FakeHost = {
    name,
    worker: startWorker(),
    gate: startGate(),
    suspension,
    get isUp() {
      return !suspension.hasEnded;
    },
    maximumOrderDelay: 0,
    killSidecar: (end, closeDelay) => {
      suspension.end();
      network.endProcess(name, end, closeDelay);
      host.gate.kill();
    },
    startSidecar: clockStart => {
      suspension = createSuspension(timers, clockStart);
      host.suspension = suspension;
      host.gate = startGate();
      host.gate.stopLeftovers();
    },
    restartSidecar: async () => {
      host.killSidecar(ProcessEnd.Reset, 0);
      await timers.advance(10);
      host.startSidecar(timers.now());
      report();
    },
    restartWorker: () => {
      host.restartUnnoticed();
      report();
    },
    restartUnnoticed: () => {
      host.worker.crash();
      host.worker = startWorker();
    },
    report,
    reportOther: isSameId => {
      const { run } = host.worker;
      const workerId = isSameId ? run.workerId : 'worker-of-another-writer';
      host.gate.workerReported({
        worker: { ...run, workerId, incarnation: `${workerId}@later` },
        bornAt: incarnations + 1_000,
        sequence: 1,
        draining: false,
      });
    },
    resize: report,
  };
  report();
  return host;
}

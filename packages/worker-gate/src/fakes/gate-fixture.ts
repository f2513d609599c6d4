/** Test fixture: a worker gate, its fake worker, and a dispatcher controlled by the test. */
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics, type Metrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import type {
  NetworkAddress,
  RunEnd,
  RunOrder,
  WorkerRun,
} from '@cranberryturn/types';
import {
  createMemoryNetwork,
  type FromWorkerMessage,
  type MemoryNetwork,
  ProcessRole,
  type RunValidity,
  type ToWorkerBody,
} from '@cranberryturn/wire';

import { startWorkerGate } from '../start-worker-gate.js';
import type { WorkerGate } from '../worker-gate-options.js';
import {
  type FakeDispatcher,
  oneProcessor,
  startFakeDispatcher,
  times,
} from './fake-dispatcher.js';
import { createFakeWorker } from './fake-worker.js';
import type { FakeWorker } from './fake-worker-state.js';
import { openIncarnationPort } from './open-incarnation-port.js';

/** Address of the first dispatcher; the ports of the others follow. */
export const dispatcherAddress = { address: '10.0.0.1', port: 7_700 };

export { oneProcessor };

/** The processes of a test. */
export interface GateFixture {
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  /** The incarnation of the worker that answers. */
  readonly worker: FakeWorker;
  readonly gate: WorkerGate;
  readonly dispatchers: readonly FakeDispatcher[];
  /** Ends of runs that the first dispatcher has received. */
  readonly ends: RunEnd[];
  readonly received: FromWorkerMessage[];
  readonly metrics: Metrics;
  /** Whether the first dispatcher renews its lease with each stamp that it receives. */
  isRenewingLease: boolean;
  /** Sends a message of the first dispatcher, with the latest stamp as echo. */
  send(body: ToWorkerBody): void;
  /** Sends a placement order; fields that are not given have default values. */
  place(order: Partial<RunOrder> & { readonly jobId: string }): void;
  /** Started runs as "job/run number", in order. */
  listStarts(): readonly string[];
  /** Freezes the sidecar for good: its worker and its dispatchers receive nothing more from it. */
  freezeSidecar(): void;
  /** Starts another incarnation of the worker at its address, which does not report yet. The earlier one is over. */
  startIncarnation(worker: WorkerRun): FakeWorker;
  /** Starts another sidecar process for the same worker. */
  restartGate(): WorkerGate;
  /** Sends a report of the worker to the gate. */
  report(worker: WorkerRun, draining?: boolean): void;
}

/** Creates the description of the worker; `incarnation` numbers its incarnations. */
export function createWorkerRun(
  processors: number,
  incarnationNumber = 1,
): WorkerRun {
  return {
    workerId: 'worker-1',
    incarnation: `worker-1@${String(incarnationNumber)}`,
    service: 'register',
    capacity: { processors, memoryMebibytes: 65_536, accelerators: 0 },
    labels: ['rack-1'],
    dataCentre: 'dong-da',
  };
}

/** Starts a gate whose worker has reported, and connects the dispatcher. */
export async function startGateFixture(
  processors = 2,
  evacuations = false,
  {
    dispatchers: numberOfDispatchers = 1,
    clockRate,
    validity,
  }: {
    readonly dispatchers?: number;
    readonly clockRate?: number;
    readonly validity?: RunValidity;
  } = {},
): Promise<GateFixture> {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, 1);
  const run = createWorkerRun(processors);
  const startWorker = (incarnation: WorkerRun): FakeWorker =>
    createFakeWorker({
      timers,
      run: incarnation,
      need: oneProcessor,
      clockRate,
    });
  const worker = startWorker(run);
  const dispatchers: FakeDispatcher[] = [];
  const seeds: NetworkAddress[] = [];
  for (let number = 0; number < numberOfDispatchers; number += 1) {
    const address = {
      ...dispatcherAddress,
      port: dispatcherAddress.port + number,
    };
    const name = `dispatcher-${String(number + 1)}`;
    seeds.push(address);
    dispatchers.push(
      await startFakeDispatcher({ timers, network, name, address }),
    );
  }
  const [dispatcher] = dispatchers;
  if (dispatcher === undefined) throw new Error('a test needs a dispatcher');
  let sequence = 0;

  const metrics = createMetrics({
    role: 'sidecar',
    process: 'sidecar-1',
    timers,
  });
  let processes = 0;
  const startGate = (): WorkerGate => {
    processes += 1;
    return startWorkerGate({
      name: 'sidecar-1',
      network: network.join({
        role: ProcessRole.Sidecar,
        name: 'sidecar-1',
        incarnation: `s${String(processes)}`,
      }),
      seeds,
      timers,
      random: createRandomSource(processes),
      times,
      logger: createSilentLogger(),
      metrics,
      validity,
      evacuations,
      openWorker: expected =>
        openIncarnationPort(expected, () => fixture.worker),
      openUnreportedWorker: () => fixture.worker.port,
    });
  };

  const fixture: GateFixture & { gate: WorkerGate; worker: FakeWorker } = {
    timers,
    network,
    worker,
    gate: startGate(),
    dispatchers,
    ends: dispatcher.ends,
    received: dispatcher.received,
    metrics,
    get isRenewingLease() {
      return dispatcher.isRenewingLease;
    },
    set isRenewingLease(isRenewing) {
      dispatcher.isRenewingLease = isRenewing;
    },
    send: dispatcher.send,
    place: dispatcher.place,
    freezeSidecar: () => {
      fixture.worker.isSilent = true;
      for (const { name } of dispatchers) network.partition('sidecar-1', name);
    },
    listStarts: () =>
      fixture.worker.starts.map(start => `${start.jobId}/${String(start.run)}`),
    startIncarnation: incarnation => {
      fixture.worker.crash();
      fixture.worker = startWorker(incarnation);
      return fixture.worker;
    },
    restartGate: () => {
      fixture.gate = startGate();
      return fixture.gate;
    },
    report: (reported, draining = false) => {
      sequence += 1;
      const bornAt = Number(reported.incarnation.split('@')[1]);
      fixture.gate.workerReported({
        worker: reported,
        bornAt,
        sequence,
        draining,
      });
    },
  };
  fixture.report(run);
  await timers.advance(200);
  return fixture;
}

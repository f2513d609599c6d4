/** Test fixture: a worker gate, its fake worker, and a dispatcher controlled by the test. */
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics, type Metrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import { acceptSessions } from '@cranberryturn/sessions';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import type {
  Milliseconds,
  RunEnd,
  RunOrder,
  WorkerRun,
} from '@cranberryturn/types';
import {
  createMemoryNetwork,
  FromWorkerKind,
  type FromWorkerMessage,
  type MemoryNetwork,
  ProcessRole,
  type ToWorkerBody,
  ToWorkerKind,
  type ToWorkerMessage,
} from '@cranberryturn/wire';

import { startWorkerGate } from '../start-worker-gate.js';
import type { WorkerGate } from '../worker-gate-options.js';
import { createFakeWorker } from './fake-worker.js';
import type { FakeWorker } from './fake-worker-state.js';

/** Address of the dispatcher, which is the only seed. */
export const dispatcherAddress = { address: '10.0.0.1', port: 7_700 };
const times = { heartbeatMilliseconds: 300, suspicionMilliseconds: 700 };

/** Resources of each task in these tests. */
export const oneProcessor = {
  processors: 1,
  memoryMebibytes: 64,
  accelerators: 0,
};

/** The processes of a test. */
export interface GateFixture {
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  readonly worker: FakeWorker;
  readonly gate: WorkerGate;
  /** Ends of runs that the dispatcher has received. */
  readonly ends: RunEnd[];
  readonly received: FromWorkerMessage[];
  readonly metrics: Metrics;
  /** Whether the dispatcher renews its lease with each stamp that it receives. */
  isRenewingLease: boolean;
  /** Sends a message of the dispatcher, with the latest stamp as echo. */
  send(body: ToWorkerBody): void;
  /** Sends a placement order; fields that are not given have default values. */
  place(order: Partial<RunOrder> & { readonly jobId: string }): void;
  /** Started runs as "job/run number", in order. */
  listStarts(): readonly string[];
  /** Starts another sidecar process for the same worker. */
  restartGate(): WorkerGate;
  /** Sends a report of the worker to the gate. */
  report(worker: WorkerRun, draining?: boolean): void;
}

/** Creates the description of the worker; `life` numbers its incarnations. */
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
): Promise<GateFixture> {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, 1);
  const run = createWorkerRun(processors);
  const worker = createFakeWorker({ timers, run, need: oneProcessor });
  const ends: RunEnd[] = [];
  const received: FromWorkerMessage[] = [];
  let send: (message: ToWorkerMessage) => void = () => undefined;
  let echo: Milliseconds = 0;
  let sequence = 0;

  const acceptor = acceptSessions<ToWorkerMessage, FromWorkerMessage>({
    timers,
    times,
    startSession: (_peer, sendMessage) => {
      send = sendMessage;
      echo = 0;
      return {
        messageReceived: message => {
          received.push(message);
          echo = message.stamp;
          if (message.kind === FromWorkerKind.RunsEnded)
            ends.push(...message.ends);
          if (fixture.isRenewingLease)
            send({ kind: ToWorkerKind.Heartbeat, echo });
        },
        connected: () => undefined,
        suspected: () => undefined,
        ended: () => undefined,
      };
    },
  });
  await network
    .join({
      role: ProcessRole.Dispatcher,
      name: 'dispatcher-1',
      incarnation: 'd1',
    })
    .listen(
      dispatcherAddress,
      connection => void acceptor.acceptConnection(connection),
    );

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
      seeds: [dispatcherAddress],
      timers,
      random: createRandomSource(processes),
      times,
      logger: createSilentLogger(),
      metrics,
      leaseMilliseconds: 1_000,
      evacuations,
      openWorker: () => worker.port,
    });
  };

  const fixture: GateFixture & { gate: WorkerGate } = {
    timers,
    network,
    worker,
    gate: startGate(),
    ends,
    received,
    metrics,
    isRenewingLease: true,
    send: body => {
      send({ ...body, echo });
    },
    place: order => {
      fixture.send({
        kind: ToWorkerKind.PlaceRuns,
        order: {
          requestId: order.jobId,
          dispatcher: 'dispatcher-1',
          service: 'register',
          specification: 'text',
          need: oneProcessor,
          priority: 1,
          estimatedMilliseconds: 100,
          dueMilliseconds: 500,
          remainingMilliseconds: 5_000,
          mayWait: true,
          tasks: [{ taskId: '0.0.0', run: 1 }],
          ...order,
        },
      });
    },
    listStarts: () =>
      worker.starts.map(start => `${start.jobId}/${String(start.run)}`),
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

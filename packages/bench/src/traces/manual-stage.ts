/** The real dispatcher, sidecar and control code under the manual clock and a network in memory. */
import {
  type ControlNode,
  createMemoryLog,
  startControl,
} from '@cranberryturn/control';
import { createControlClient } from '@cranberryturn/control-client';
import { type Dispatcher, startDispatcher } from '@cranberryturn/dispatcher';
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createRandomSource } from '@cranberryturn/random';
import { type Sidecar, startSidecar } from '@cranberryturn/sidecar';
import type { ManualTimerService } from '@cranberryturn/timers';
import type { DecisionRecord, Milliseconds } from '@cranberryturn/types';
import {
  createMemoryNetwork,
  type MemoryNetwork,
  ProcessRole,
} from '@cranberryturn/wire';
import { okAsync } from 'neverthrow';

import { announceWorker } from '../system/start-bench-system.js';
import { createManualTarget, type ManualTarget } from './manual-target.js';
import {
  brokenReply,
  readSubmission,
  toJobRequest,
} from './manual-submissions.js';
import type { Stage } from './stage.js';
import {
  type TraceFault,
  TraceFaultKind,
  type TraceHeader,
} from './trace-format.js';
import { traceShape } from './trace-shape.js';

const oneWayMilliseconds: Milliseconds = 0.2;
const startUpMilliseconds: Milliseconds = 3_000;
const retentionMilliseconds: Milliseconds = 600_000;
const mebibyte = 1_048_576;
const replicaId = 'control-1';
const anyPort = { address: '127.0.0.1', port: 0 };

interface ManualDispatcher {
  readonly dispatcher: Dispatcher;
  readonly stopControl: () => Promise<void>;
  /** Resolves when the dispatcher dies. */
  readonly died: Promise<void>;
  readonly die: () => void;
}

interface ManualWorker {
  readonly targetId: string;
  readonly target: ManualTarget;
  readonly sidecar: Sidecar;
}

interface ManualParts {
  readonly header: TraceHeader;
  readonly timers: ManualTimerService;
  readonly network: MemoryNetwork;
  readonly records: DecisionRecord[];
}

/** Starts the stage and moves time until it is ready. */
export async function startManualStage(
  header: TraceHeader,
  timers: ManualTimerService,
): Promise<Stage> {
  const parts: ManualParts = {
    header,
    timers,
    network: createMemoryNetwork(timers, oneWayMilliseconds),
    records: [],
  };
  const control = await startManualControl(parts);
  const dispatchers = await Promise.all(
    Array.from({ length: header.dispatchers }, (_, position) =>
      startManualDispatcher(parts, control, position),
    ),
  );
  const addresses = dispatchers.map(one => one.dispatcher.peersAddress);
  const workers = Array.from({ length: header.workers }, (_, position) =>
    startManualWorker(parts, addresses, position),
  );
  await timers.advance(startUpMilliseconds);
  return composeStage(parts, control, dispatchers, workers);
}

function composeStage(
  parts: ManualParts,
  control: ControlNode,
  dispatchers: readonly ManualDispatcher[],
  workers: readonly ManualWorker[],
): Stage {
  return {
    records: parts.records,
    startedAt: parts.timers.wallClock(),
    targetOf: worker => workers[worker]?.targetId ?? '',
    startCounts: () => workers.flatMap(one => one.target.starts.list()),
    submitJob: (position, job) => {
      const chosen = dispatchers[position];
      if (chosen === undefined) return Promise.resolve(brokenReply);
      return Promise.race([
        chosen.dispatcher.jobs
          .submitJob(toJobRequest(job), job.jobId)
          .then(readSubmission),
        chosen.died.then(() => brokenReply),
      ]);
    },
    cancelJob: async (position, job) => {
      const jobs = dispatchers[position]?.dispatcher.jobs;
      await jobs?.cancelJob(toJobRequest(job).jobId);
    },
    applyFault: fault => applyFault(parts, dispatchers, workers, fault),
    stop: async () => {
      for (const worker of workers) worker.sidecar.kill();
      for (const one of dispatchers) one.dispatcher.kill();
      await Promise.all(dispatchers.map(one => one.stopControl()));
      await control.stop();
    },
  };
}

async function applyFault(
  { network }: ManualParts,
  dispatchers: readonly ManualDispatcher[],
  workers: readonly ManualWorker[],
  fault: TraceFault,
): Promise<void> {
  switch (fault.kind) {
    case TraceFaultKind.WorkerDies: {
      const worker = workers[fault.worker];
      worker?.target.kill();
      worker?.sidecar.kill();
      return;
    }
    case TraceFaultKind.TargetFault:
      workers[fault.worker]?.target.setFault(fault.fault);
      return;
    case TraceFaultKind.ConnectionsSilent:
      for (const link of network.connections) {
        if (link.from === workers[fault.worker]?.targetId) link.silent = true;
      }
      return;
    case TraceFaultKind.DispatcherDies:
      dispatchers[fault.dispatcher]?.die();
      return;
    case TraceFaultKind.WorkerLeaves:
      await workers[fault.worker]?.sidecar.stop();
      return;
  }
}

async function startManualControl(parts: ManualParts): Promise<ControlNode> {
  const { timers, network, records } = parts;
  const started = await startControl({
    listen: anyPort,
    joinNetwork: name =>
      network.join({ role: ProcessRole.Control, name, incarnation: 'run-1' }),
    timers,
    openLog: stateMachine =>
      okAsync(createMemoryLog({ replicaId, stateMachine, timers })),
    peers: [],
    logger: createSilentLogger(),
    decisions: recordTo(records, replicaId, timers),
  });
  if (started.isErr()) throw started.error;
  return started.value;
}

async function startManualDispatcher(
  { header, timers, network, records }: ManualParts,
  control: ControlNode,
  position: number,
): Promise<ManualDispatcher> {
  const dispatcherId = `dispatcher-${String(position + 1)}`;
  const self = { dispatcherId, incarnation: 'run-1' };
  const joined = network.join({
    role: ProcessRole.Dispatcher,
    name: dispatcherId,
    incarnation: self.incarnation,
  });
  const seed = header.seed + position;
  const client = createControlClient({
    network: joined,
    timers,
    random: createRandomSource(seed),
    self,
    controlHosts: [{ replicaId, address: control.address }],
  });
  const started = await startDispatcher({
    self,
    callers: anyPort,
    peers: anyPort,
    teams: [],
    limits: {
      bodyBytes: 8 * mebibyte,
      bodyTimeoutMilliseconds: 10_000,
      callersConnections: 16,
    },
    retention: {
      answersMilliseconds: retentionMilliseconds,
      answersBytes: 64 * mebibyte,
    },
    network: joined,
    control: client,
    timers,
    seed,
    metrics: createMetrics({
      role: ProcessRole.Dispatcher,
      process: dispatcherId,
      timers,
    }),
    decisions: recordTo(records, dispatcherId, timers),
  });
  if (started.isErr()) throw started.error;
  const dispatcher = started.value;
  let tellDeath: () => void = () => undefined;
  const died = new Promise<void>(resolve => {
    tellDeath = resolve;
  });
  return {
    dispatcher,
    stopControl: () => client.stop(),
    died,
    die: () => {
      dispatcher.kill();
      void client.stop();
      tellDeath();
    },
  };
}

function startManualWorker(
  { header, timers, network, records }: ManualParts,
  dispatchers: readonly Dispatcher['peersAddress'][],
  position: number,
): ManualWorker {
  const announcement = {
    ...announceWorker(traceShape, position),
    slots: header.slots,
  };
  const { targetId, incarnation } = announcement;
  const target = createManualTarget(targetId, timers);
  const sidecar = startSidecar({
    announcement,
    dispatchers,
    network: network.join({
      role: ProcessRole.Sidecar,
      name: targetId,
      incarnation,
    }),
    target,
    timers,
    random: createRandomSource(header.seed + position),
    decisions: recordTo(records, targetId, timers),
    retention: {
      startsMilliseconds: retentionMilliseconds,
      answersBytes: 8 * mebibyte,
    },
    queueLimit: 2,
  });
  return { targetId, target, sidecar };
}

function recordTo(
  records: DecisionRecord[],
  process: string,
  timers: ManualTimerService,
): Parameters<typeof startSidecar>[0]['decisions'] {
  return decision => {
    records.push({ at: timers.wallClock(), process, ...decision });
  };
}

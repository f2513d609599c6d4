/** Plans a trace of random submissions and faults from a seed. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import { TargetFaultKind } from '@cranberryturn/stand-ins';
import type { Milliseconds } from '@cranberryturn/types';

import type { PlannedJob } from '../load/plan-load.js';
import {
  simulatedReplicaId,
  composeDispatcherId,
} from '../traces/simulated-roles.js';
import {
  type Trace,
  type TraceEvent,
  type TraceFault,
  TraceFaultKind,
  type TraceHeader,
  TraceLineKind,
} from '../traces/trace-format.js';
import { traceShape } from '../traces/trace-shape.js';
import { composeAnnouncement } from '../system/start-bench-system.js';

const durationMilliseconds: Milliseconds = 6_000;
const maximumPartitionMilliseconds: Milliseconds = 6_000;
const maximumResubmissionDelayMilliseconds: Milliseconds = 4_000;
const minimumDeadlineMilliseconds: Milliseconds = 2_000;
const maximumDeadlineMilliseconds: Milliseconds = 10_000;
const maximumRunMilliseconds: Milliseconds = 800;
const maximumJobs = 40;
const maximumTasks = 6;
const maximumFaults = 6;
const maximumSubmissions = 3;
const cancelledShare = 0.05;
const idempotentShare = 0.3;
const answerBytes = 100;

/** Plans a trace of a random small deployment. The same seed gives the same trace. */
export function planSweepTrace(seed: number): Omit<Trace, 'expectations'> {
  const random = createRandomSource(seed);
  const header: TraceHeader = {
    kind: TraceLineKind.Header,
    name: `sweep-${String(seed)}`,
    description: 'Random submissions and faults.',
    seed,
    commit: '',
    workers: 2 + random.below(3),
    slots: 1 + random.below(4),
    dispatchers: 2 + random.below(2),
  };
  const jobs = Array.from(
    { length: 1 + random.below(maximumJobs) },
    (_, number) => planJobEvents(random, header, number),
  );
  const faults = Array.from(
    { length: random.below(maximumFaults + 1) },
    () => ({
      kind: TraceLineKind.Fault as const,
      at: random.below(durationMilliseconds),
      fault: planFault(random, header),
    }),
  );
  const events = [...jobs.flat(), ...faults];
  events.sort((left, right) => left.at - right.at);
  return { header, events, observed: [] };
}

function planJobEvents(
  random: RandomSource,
  header: TraceHeader,
  number: number,
): readonly TraceEvent[] {
  const first = random.below(durationMilliseconds);
  const job = planJob(random, header, number, first);
  // Some callers submit a job again because they consider the first submission lost.
  const repetitions = Math.max(0, random.below(maximumSubmissions + 2) - 2);
  const submissions = job.idempotent ? 1 : 1 + repetitions;
  const events: TraceEvent[] = Array.from(
    { length: submissions },
    (_, repetition) => ({
      kind: TraceLineKind.Submission as const,
      at:
        repetition === 0
          ? first
          : first + random.below(maximumResubmissionDelayMilliseconds),
      dispatcher: random.below(header.dispatchers),
      job,
    }),
  );
  if (random.fraction() >= cancelledShare) return events;
  return [
    ...events,
    {
      kind: TraceLineKind.Cancellation,
      at: first + random.below(maximumRunMilliseconds),
      dispatcher: random.below(header.dispatchers),
      jobId: job.jobId,
    },
  ];
}

function planJob(
  random: RandomSource,
  header: TraceHeader,
  number: number,
  at: Milliseconds,
): PlannedJob {
  const idempotent = random.fraction() < idempotentShare;
  const tasks = idempotent ? 1 : 1 + random.below(maximumTasks);
  const deadlines = maximumDeadlineMilliseconds - minimumDeadlineMilliseconds;
  return {
    at,
    jobId: `sweep-${String(header.seed)}-${String(number)}`,
    request: 'sweep',
    service: traceShape.service,
    team: 'sweep',
    idempotent,
    deadlineMilliseconds: minimumDeadlineMilliseconds + random.below(deadlines),
    tasks: Array.from({ length: tasks }, (_, task) => ({
      taskId: `task-${String(task)}`,
      runMilliseconds: 1 + random.below(maximumRunMilliseconds),
      answerBytes,
    })),
  };
}

function planFault(random: RandomSource, header: TraceHeader): TraceFault {
  const worker = random.below(header.workers);
  const dispatcher = random.below(header.dispatchers);
  const kinds = Object.values(TraceFaultKind);
  const kind = kinds[random.below(kinds.length)] ?? TraceFaultKind.WorkerDies;
  switch (kind) {
    case TraceFaultKind.WorkerDies:
    case TraceFaultKind.WorkerLeaves:
    case TraceFaultKind.WorkerRestarts:
    case TraceFaultKind.SidecarRestarts:
    case TraceFaultKind.ConnectionsSilent:
      return { kind, worker };
    case TraceFaultKind.DispatcherDies:
    case TraceFaultKind.DispatcherLeaves:
    case TraceFaultKind.DispatcherRestarts:
      return { kind, dispatcher };
    case TraceFaultKind.TargetFault:
      return { kind, worker, fault: planTargetFault(random) };
    case TraceFaultKind.ProcessesCutOff:
      return { kind, ...planPartition(random, worker, dispatcher, header) };
  }
}

function planTargetFault(
  random: RandomSource,
): Extract<TraceFault, { kind: TraceFaultKind.TargetFault }>['fault'] {
  const factor = 2 + random.below(20);
  const periodMilliseconds = 100 + random.below(1_000);
  const kinds = Object.values(TargetFaultKind);
  const kind = kinds[random.below(kinds.length)] ?? TargetFaultKind.None;
  switch (kind) {
    case TargetFaultKind.None:
    case TargetFaultKind.FailAll:
    case TargetFaultKind.Hang:
    case TargetFaultKind.DropConnection:
      return { kind };
    case TargetFaultKind.Slow:
      return { kind, factor };
    case TargetFaultKind.Flap:
      return { kind, periodMilliseconds };
  }
}

function planPartition(
  random: RandomSource,
  worker: number,
  dispatcher: number,
  header: TraceHeader,
) {
  const others = [
    simulatedReplicaId,
    composeAnnouncement(traceShape, worker).targetId,
    composeDispatcherId((dispatcher + 1) % header.dispatchers),
  ];
  return {
    first: composeDispatcherId(dispatcher),
    second: others[random.below(others.length)] ?? simulatedReplicaId,
    durationMilliseconds: random.below(maximumPartitionMilliseconds),
  };
}

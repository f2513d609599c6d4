/** The events and the stated outcomes of each trace, before it is recorded. */
import { TargetFaultKind } from '@cranberryturn/stand-ins';
import { type Milliseconds, Started } from '@cranberryturn/types';

import { SubmissionOutcome } from '../load/job-client.js';
import type { PlannedJob } from '../load/plan-load.js';
import {
  type Expectation,
  ExpectationKind,
  type TraceEvent,
  TraceFaultKind,
  TraceLineKind,
} from './trace-format.js';
import {
  burst,
  fault,
  faultAt,
  load,
  plan,
  submit,
  submitAll,
} from './trace-load.js';
import { traceDispatchers } from './trace-shape.js';

/** What is recorded as one trace. */
export interface TraceScript {
  readonly name: string;
  readonly description: string;
  readonly events: readonly TraceEvent[];
  readonly expectations: readonly Expectation[];
}

const graceMilliseconds: Milliseconds = 1_000;
/** Time in which a fault is noticed, from the bounds on suspicion and ejection. */
const noticedMilliseconds: Milliseconds = 5_000;
const longDurationMilliseconds: Milliseconds = 12_000;

const always: readonly Expectation[] = [
  { kind: ExpectationKind.NoViolations },
  { kind: ExpectationKind.EveryJobEnds, graceMilliseconds },
];
const allComplete: Expectation = {
  kind: ExpectationKind.CompleteShare,
  from: 0,
  atLeast: 1,
};
const completeOnceNoticed: Expectation = {
  kind: ExpectationKind.CompleteShare,
  from: faultAt + noticedMilliseconds,
  atLeast: 1,
};

/** Every trace of bench/traces. */
export function listTraceScripts(): readonly TraceScript[] {
  return [
    {
      name: 'worker-dies',
      description: 'A worker dies under load; later jobs are not hurt.',
      events: [
        ...load({ durationMilliseconds: longDurationMilliseconds }),
        fault({ kind: TraceFaultKind.WorkerDies, worker: 0 }),
      ],
      expectations: [...always, completeOnceNoticed],
    },
    {
      name: 'straggler',
      description: 'A worker takes ten times as long as the others.',
      events: [
        ...load(),
        fault({
          kind: TraceFaultKind.TargetFault,
          worker: 1,
          fault: { kind: TargetFaultKind.Slow, factor: 10 },
        }),
      ],
      expectations: [...always, allComplete],
    },
    {
      name: 'burst',
      description: 'Arrivals come ten times as fast for 300 ms.',
      events: load({ bursts: [burst()] }),
      expectations: [...always, allComplete],
    },
    {
      name: 'misdeclared-sizes',
      description: 'All declared run times are off by ten, either way.',
      events: load({ misdeclaredShare: 1 }),
      expectations: [
        ...always,
        allComplete,
        {
          kind: ExpectationKind.ResponseOverIdeal,
          percentile: 50,
          atMost: 1.05,
        },
      ],
    },
    describeImpossibleJob(),
    describeCancellationWave(),
    {
      name: 'worker-fails-all',
      description:
        'A worker fails every task at once; it must not attract the work.',
      events: [
        ...load({ durationMilliseconds: longDurationMilliseconds }),
        fault({
          kind: TraceFaultKind.TargetFault,
          worker: 2,
          fault: { kind: TargetFaultKind.FailAll },
        }),
      ],
      expectations: [
        ...always,
        {
          kind: ExpectationKind.StartsOnWorker,
          worker: 2,
          from: faultAt + noticedMilliseconds,
          atMost: 10,
        },
      ],
    },
    {
      name: 'silent-connections',
      description:
        'All connections of a worker go silent for good while new ones work.',
      events: [
        ...load(),
        fault({ kind: TraceFaultKind.ConnectionsSilent, worker: 3 }),
      ],
      expectations: [...always, allComplete],
    },
    describeDispatcherDeath(),
    {
      name: 'worker-leaves',
      description: 'A planned stop of a worker cuts off no request.',
      events: [
        ...load(),
        fault({ kind: TraceFaultKind.WorkerLeaves, worker: 1 }),
      ],
      expectations: [
        ...always,
        allComplete,
        {
          kind: ExpectationKind.StartsOnWorker,
          worker: 1,
          from: faultAt + 2_000,
          atMost: 0,
        },
      ],
    },
  ];
}

function describeImpossibleJob(): TraceScript {
  const [job] = plan({});
  if (job === undefined) throw new Error('The load is empty.');
  const impossible: PlannedJob = {
    ...job,
    at: faultAt,
    jobId: 'impossible',
    tasks: job.tasks.map(task => ({ ...task, declared: { accelerators: 64 } })),
  };
  return {
    name: 'impossible-job',
    description: 'A job that no worker can ever hold is refused at once.',
    events: [...load(), submit(impossible, 0)],
    expectations: [
      ...always,
      {
        kind: ExpectationKind.JobEnds,
        jobId: 'impossible',
        outcomes: [SubmissionOutcome.Refused],
        started: [Started.No],
      },
    ],
  };
}

function describeCancellationWave(): TraceScript {
  const jobs = plan({ bursts: [burst()] });
  const cancelled = jobs.filter(
    job => job.at >= faultAt && job.at < faultAt + 300,
  );
  return {
    name: 'cancellation-wave',
    description: 'Every job of a burst is cancelled shortly after it arrived.',
    events: [
      ...submitAll(jobs),
      ...cancelled.map((job): TraceEvent => ({
        kind: TraceLineKind.Cancellation,
        at: faultAt + 400,
        dispatcher: jobs.indexOf(job) % traceDispatchers,
        jobId: job.jobId,
      })),
    ],
    expectations: [
      ...always,
      {
        kind: ExpectationKind.CompleteShare,
        from: faultAt + 1_000,
        atLeast: 1,
      },
    ],
  };
}

function describeDispatcherDeath(): TraceScript {
  const jobs = plan({ durationMilliseconds: faultAt });
  const open = jobs.filter(
    (job, position) =>
      position % traceDispatchers === 0 && job.at > faultAt - 300,
  );
  const again = open.map((job): TraceEvent => ({
    kind: TraceLineKind.Submission,
    at: faultAt + 500,
    dispatcher: 1,
    job: { ...job, at: faultAt + 500 },
  }));
  return {
    name: 'dispatcher-dies',
    description:
      'A dispatcher dies; its callers resubmit the same jobs to the other one.',
    events: [
      ...submitAll(jobs),
      fault({ kind: TraceFaultKind.DispatcherDies, dispatcher: 0 }),
      ...again,
    ],
    expectations: [
      ...always,
      ...open.map((job): Expectation => ({
        kind: ExpectationKind.JobEnds,
        jobId: job.jobId,
        outcomes: [SubmissionOutcome.Complete, SubmissionOutcome.Failed],
      })),
    ],
  };
}

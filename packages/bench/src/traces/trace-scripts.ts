/** The events and expectations from which each trace is recorded. */
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
  createBurst,
  createFault,
  faultAtMilliseconds,
  planLoadEvents,
  planJobs,
  createSubmission,
  createSubmissions,
} from './trace-load.js';
import { traceDispatcherCount } from './trace-shape.js';

/** The source of one recorded trace. */
export interface TraceScript {
  readonly name: string;
  readonly description: string;
  readonly events: readonly TraceEvent[];
  readonly expectations: readonly Expectation[];
}

const graceMilliseconds: Milliseconds = 1_000;
/** Time within which a fault is detected; follows from the bounds on suspicion and ejection. */
const detectionMilliseconds: Milliseconds = 5_000;
const longDurationMilliseconds: Milliseconds = 12_000;

const commonExpectations: readonly Expectation[] = [
  { kind: ExpectationKind.NoViolations },
  { kind: ExpectationKind.EveryJobEnds, graceMilliseconds },
];
const allJobsComplete: Expectation = {
  kind: ExpectationKind.CompleteShare,
  from: 0,
  atLeast: 1,
};
const completeAfterDetection: Expectation = {
  kind: ExpectationKind.CompleteShare,
  from: faultAtMilliseconds + detectionMilliseconds,
  atLeast: 1,
};

/** Lists the script of every file in bench/traces. */
export function listTraceScripts(): readonly TraceScript[] {
  return [
    {
      name: 'worker-dies',
      description: 'A worker dies under load; later jobs are not hurt.',
      events: [
        ...planLoadEvents({ durationMilliseconds: longDurationMilliseconds }),
        createFault({ kind: TraceFaultKind.WorkerDies, worker: 0 }),
      ],
      expectations: [...commonExpectations, completeAfterDetection],
    },
    {
      name: 'straggler',
      description: 'A worker takes ten times as long as the others.',
      events: [
        ...planLoadEvents(),
        createFault({
          kind: TraceFaultKind.TargetFault,
          worker: 1,
          fault: { kind: TargetFaultKind.Slow, factor: 10 },
        }),
      ],
      expectations: [...commonExpectations, allJobsComplete],
    },
    {
      name: 'burst',
      description: 'Arrivals come ten times as fast for 300 ms.',
      events: planLoadEvents({ bursts: [createBurst()] }),
      expectations: [...commonExpectations, allJobsComplete],
    },
    {
      name: 'misdeclared-sizes',
      description: 'All declared run times are off by ten, either way.',
      events: planLoadEvents({ misdeclaredShare: 1 }),
      expectations: [
        ...commonExpectations,
        allJobsComplete,
        {
          kind: ExpectationKind.ResponseOverIdeal,
          percentile: 50,
          atMost: 1.05,
        },
      ],
    },
    createImpossibleJobScript(),
    createCancellationWaveScript(),
    {
      name: 'worker-fails-all',
      description:
        'A worker fails every task at once; it must not attract the work.',
      events: [
        ...planLoadEvents({ durationMilliseconds: longDurationMilliseconds }),
        createFault({
          kind: TraceFaultKind.TargetFault,
          worker: 2,
          fault: { kind: TargetFaultKind.FailAll },
        }),
      ],
      expectations: [
        ...commonExpectations,
        {
          kind: ExpectationKind.StartsOnWorker,
          worker: 2,
          from: faultAtMilliseconds + detectionMilliseconds,
          atMost: 10,
        },
      ],
    },
    {
      name: 'silent-connections',
      description:
        'All connections of a worker go silent for good while new ones work.',
      events: [
        ...planLoadEvents(),
        createFault({ kind: TraceFaultKind.ConnectionsSilent, worker: 3 }),
      ],
      expectations: [...commonExpectations, allJobsComplete],
    },
    createDispatcherDeathScript(),
    {
      name: 'worker-leaves',
      description: 'A planned stop of a worker cuts off no request.',
      events: [
        ...planLoadEvents(),
        createFault({ kind: TraceFaultKind.WorkerLeaves, worker: 1 }),
      ],
      expectations: [
        ...commonExpectations,
        allJobsComplete,
        {
          kind: ExpectationKind.StartsOnWorker,
          worker: 1,
          from: faultAtMilliseconds + 2_000,
          atMost: 0,
        },
      ],
    },
  ];
}

function createImpossibleJobScript(): TraceScript {
  const [job] = planJobs({});
  if (job === undefined) throw new Error('The load is empty.');
  const impossible: PlannedJob = {
    ...job,
    at: faultAtMilliseconds,
    jobId: 'impossible',
    tasks: job.tasks.map(task => ({ ...task, declared: { accelerators: 64 } })),
  };
  return {
    name: 'impossible-job',
    description: 'A job that no worker can ever hold is refused at once.',
    events: [...planLoadEvents(), createSubmission(impossible, 0)],
    expectations: [
      ...commonExpectations,
      {
        kind: ExpectationKind.JobEnds,
        jobId: 'impossible',
        outcomes: [SubmissionOutcome.Refused],
        started: [Started.No],
      },
    ],
  };
}

function createCancellationWaveScript(): TraceScript {
  const jobs = planJobs({ bursts: [createBurst()] });
  const cancelled = jobs.filter(
    job => job.at >= faultAtMilliseconds && job.at < faultAtMilliseconds + 300,
  );
  return {
    name: 'cancellation-wave',
    description: 'Every job of a burst is cancelled shortly after it arrived.',
    events: [
      ...createSubmissions(jobs),
      ...cancelled.map((job): TraceEvent => ({
        kind: TraceLineKind.Cancellation,
        at: faultAtMilliseconds + 400,
        dispatcher: jobs.indexOf(job) % traceDispatcherCount,
        jobId: job.jobId,
      })),
    ],
    expectations: [
      ...commonExpectations,
      {
        kind: ExpectationKind.CompleteShare,
        from: faultAtMilliseconds + 1_000,
        atLeast: 1,
      },
    ],
  };
}

function createDispatcherDeathScript(): TraceScript {
  const jobs = planJobs({ durationMilliseconds: faultAtMilliseconds });
  const open = jobs.filter(
    (job, position) =>
      position % traceDispatcherCount === 0 &&
      job.at > faultAtMilliseconds - 300,
  );
  const again = open.map((job): TraceEvent => ({
    kind: TraceLineKind.Submission,
    at: faultAtMilliseconds + 500,
    dispatcher: 1,
    job: { ...job, at: faultAtMilliseconds + 500 },
  }));
  return {
    name: 'dispatcher-dies',
    description:
      'A dispatcher dies; its callers resubmit the same jobs to the other one.',
    events: [
      ...createSubmissions(jobs),
      createFault({ kind: TraceFaultKind.DispatcherDies, dispatcher: 0 }),
      ...again,
    ],
    expectations: [
      ...commonExpectations,
      ...open.map((job): Expectation => ({
        kind: ExpectationKind.JobEnds,
        jobId: job.jobId,
        outcomes: [SubmissionOutcome.Complete, SubmissionOutcome.Failed],
      })),
    ],
  };
}

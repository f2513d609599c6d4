import {
  AttemptOutcome,
  type Decision,
  DecisionKind,
  type DecisionRecord,
  JobOutcome,
  Started,
} from '@cranberryturn/types';
import test from 'ava';

import { checkDecisions } from './check-decisions.js';
import { parseDecisionLog } from './read-decision-log.js';
import {
  type CheckOptions,
  LimitScope,
  type ObservedReply,
  defaultCheckOptions,
  ViolationKind,
} from './violation.js';

const attempt = { attempt: 1, epoch: 1, target: 'worker-1' };

function record(at: number, decision: Decision): DecisionRecord {
  return { at, process: 'process-1', ...decision };
}

function admitted(jobId: string, idempotent: boolean): DecisionRecord {
  return record(0, {
    kind: DecisionKind.Admitted,
    jobId,
    service: 'register-svc',
    team: 'ward',
    tasks: 2,
    idempotent,
  });
}

function started(
  jobId: string,
  taskId: string,
  idempotent: boolean,
  at = 10,
  number = 1,
  target = 'worker-1',
): DecisionRecord {
  return record(at, {
    kind: DecisionKind.Started,
    ...attempt,
    jobId,
    taskId,
    attempt: number,
    target,
    incarnation: 'run-1',
    idempotent,
  });
}

function ended(
  jobId: string,
  taskId: string,
  outcome: AttemptOutcome,
  at = 60,
): DecisionRecord {
  return record(at, {
    kind: DecisionKind.Ended,
    ...attempt,
    jobId,
    taskId,
    outcome,
  });
}

function replied(
  jobId: string,
  outcome: JobOutcome,
  startedState: Started,
  answered: string[],
): DecisionRecord {
  return record(90, {
    kind: DecisionKind.Replied,
    jobId,
    outcome,
    started: startedState,
    answered,
    asked: 2,
  });
}

const { Answered, NotStarted } = AttemptOutcome;
const consistentLog: readonly DecisionRecord[] = [
  admitted('booking', false),
  started('booking', 'seat', false),
  started('booking', 'payment', false),
  ended('booking', 'seat', Answered),
  ended('booking', 'payment', Answered),
  replied('booking', JobOutcome.Complete, Started.Yes, ['seat', 'payment']),
  admitted('lookup', true),
  started('lookup', 'street', true, 20),
  ended('lookup', 'street', AttemptOutcome.Failed, 70),
  started('lookup', 'street', true, 75, 2, 'worker-2'),
  replied('lookup', JobOutcome.Failed, Started.Yes, []),
  record(5, {
    kind: DecisionKind.Leaving,
    target: 'worker-1',
    incarnation: 'run-1',
  }),
];
const reply: ObservedReply = {
  jobId: 'booking',
  askedTasks: ['seat', 'payment'],
  outcome: JobOutcome.Complete,
  answers: ['seat', 'payment'].map(taskId => ({
    taskId,
    echoedJobId: 'booking',
    echoedTaskId: taskId,
  })),
};
const countedStarts = [
  { target: 'worker-1', jobId: 'booking', taskId: 'seat', starts: 1 },
  { target: 'worker-1', jobId: 'booking', taskId: 'payment', starts: 1 },
  { target: 'worker-1', jobId: 'lookup', taskId: 'street', starts: 1 },
];
const exactLimit = {
  scope: LimitScope.Service,
  name: 'register-svc',
  concurrency: 3,
  startsPerSecond: 4,
  slack: 0,
};
const evidence: CheckOptions = {
  ...defaultCheckOptions,
  startCounts: countedStarts,
  replies: [reply],
  limits: [exactLimit],
};

interface ViolationCase {
  readonly name: string;
  readonly kind: ViolationKind;
  readonly add?: readonly DecisionRecord[];
  readonly options?: Partial<CheckOptions>;
}

const crossedAnswer = {
  taskId: 'payment',
  echoedJobId: 'other',
  echoedTaskId: 'payment',
};
const [seatAnswer] = reply.answers;
const violationCases: readonly ViolationCase[] = [
  {
    name: 'an attempt that two targets started',
    kind: ViolationKind.DoubleStart,
    add: [started('lookup', 'street', true, 30, 1, 'worker-3')],
    options: { limits: [] },
  },
  {
    name: 'a repeat where repeats are not allowed',
    kind: ViolationKind.DoubleStart,
    options: { canRepeatIdempotentTasks: false },
  },
  {
    name: 'a non-idempotent booking that ran twice',
    kind: ViolationKind.NonIdempotentRepeat,
    add: [started('booking', 'seat', false, 200, 2, 'worker-2')],
    options: { limits: [] },
  },
  {
    name: 'a start that only the target counted',
    kind: ViolationKind.UnrecordedStart,
    options: {
      startCounts: [
        ...countedStarts,
        { target: 'worker-9', jobId: 'booking', taskId: 'seat', starts: 1 },
      ],
    },
  },
  {
    name: 'a complete reply with one answer missing',
    kind: ViolationKind.PartialAnswer,
    add: [replied('lookup', JobOutcome.Complete, Started.Yes, ['street'])],
  },
  {
    name: 'a failed reply that carries an answer',
    kind: ViolationKind.PartialAnswer,
    add: [replied('lookup', JobOutcome.Failed, Started.Yes, ['street'])],
  },
  {
    name: 'answers in the wrong order at the caller',
    kind: ViolationKind.PartialAnswer,
    options: { replies: [{ ...reply, answers: [...reply.answers].reverse() }] },
  },
  {
    name: 'an answer of another job',
    kind: ViolationKind.CrossedAnswer,
    options: {
      replies: [
        {
          ...reply,
          answers: [seatAnswer, crossedAnswer].filter(one => one !== undefined),
        },
      ],
    },
  },
  {
    name: 'a refusal of a job that was started',
    kind: ViolationKind.FalseNotStarted,
    add: [
      record(95, {
        kind: DecisionKind.Refused,
        jobId: 'booking',
        service: 'register-svc',
        team: 'ward',
        reason: 'overloaded',
      }),
    ],
  },
  {
    name: 'a reply that says a started job was not started',
    kind: ViolationKind.FalseNotStarted,
    add: [replied('lookup', JobOutcome.Failed, Started.No, [])],
  },
  {
    name: 'a sidecar that reports its own start as not started',
    kind: ViolationKind.FalseNotStarted,
    add: [ended('booking', 'seat', NotStarted)],
  },
  {
    name: 'a start on a leaving target after the bound',
    kind: ViolationKind.StartOnLeavingTarget,
    add: [admitted('late', true), started('late', 'one', true, 2_006)],
  },
  {
    name: 'concurrency above the limit',
    kind: ViolationKind.LimitOverrun,
    options: { limits: [{ ...exactLimit, concurrency: 2 }] },
  },
  {
    name: 'starts per second above the limit',
    kind: ViolationKind.LimitOverrun,
    options: { limits: [{ ...exactLimit, startsPerSecond: 3 }] },
  },
];

test('a log without violated invariants has no violation', t => {
  t.deepEqual(checkDecisions(consistentLog, evidence), []);
});

for (const { name, kind, add = [], options = {} } of violationCases) {
  test(`the checker finds ${name}`, t => {
    const found = checkDecisions([...consistentLog, ...add], {
      ...evidence,
      ...options,
    });
    t.deepEqual([...new Set(found.map(one => one.kind))], [kind]);
  });
}

test('a start on a leaving target exactly at the bound is allowed', t => {
  const late = [admitted('late', true), started('late', 'one', true, 2_005)];
  t.deepEqual(checkDecisions([...consistentLog, ...late], evidence), []);
});

test('an incomplete last line is ignored and a corrupt line is an error', t => {
  const text = consistentLog.map(one => JSON.stringify(one)).join('\n');
  t.is(
    parseDecisionLog(text.slice(0, -5), 'log')._unsafeUnwrap().length,
    consistentLog.length - 1,
  );
  const corrupt = parseDecisionLog(`{"kind":1}\n${text}`, 'log');
  t.regex(corrupt._unsafeUnwrapErr().message, /^log:1 /);
});

/** Checks that replies are complete, belong to their tasks and state starts correctly. */
import { JobOutcome, Started, type TaskId } from '@cranberryturn/types';

import type { DecisionIndex } from './index-decisions.js';
import {
  type CheckOptions,
  type ObservedReply,
  type Violation,
  ViolationKind,
} from './violation.js';

/** Finds partial answers, crossed answers, and replies that wrongly say that nothing was started. */
export function checkReplies(
  index: DecisionIndex,
  options: CheckOptions,
): Violation[] {
  const startedJobs = new Set(index.startedJobs);
  for (const count of options.startCounts ?? []) startedJobs.add(count.jobId);
  return [
    ...checkRecordedReplies(index),
    ...checkNotStartedReplies(index, options, startedJobs),
    ...(options.replies ?? []).flatMap(checkObservedReply),
  ];
}

function checkRecordedReplies(index: DecisionIndex): Violation[] {
  return index.replied.flatMap(reply => {
    const answered = new Set(reply.answered).size;
    const expected = reply.outcome === JobOutcome.Complete ? reply.asked : 0;
    if (answered === expected && reply.answered.length === expected) return [];
    return [
      createPartialAnswerViolation(
        reply.jobId,
        `a ${reply.outcome} reply has ${String(reply.answered.length)} answers to ${String(answered)} of ${String(reply.asked)} tasks`,
      ),
    ];
  });
}

function checkNotStartedReplies(
  index: DecisionIndex,
  options: CheckOptions,
  startedJobs: ReadonlySet<string>,
): Violation[] {
  const notStartedReplies = [
    ...index.refused.map(({ jobId }) => ({ jobId, by: 'a refusal' })),
    ...index.replied
      .filter(reply => reply.started === Started.No)
      .map(({ jobId }) => ({ jobId, by: 'the logged reply' })),
    ...(options.replies ?? [])
      .filter(reply => reply.started === Started.No)
      .map(({ jobId }) => ({ jobId, by: 'the reply to the caller' })),
  ];
  return notStartedReplies
    .filter(({ jobId }) => startedJobs.has(jobId))
    .filter(({ jobId }) => options.resubmittedJobs?.has(jobId) !== true)
    .map(({ jobId, by }) => ({
      kind: ViolationKind.FalseNotStarted,
      subject: `job ${jobId}`,
      detail: `${by} says that nothing was started, but a task of the job was`,
    }));
}

function checkObservedReply(reply: ObservedReply): Violation[] {
  const crossed = reply.answers
    .filter(
      answer =>
        answer.echoedJobId !== reply.jobId ||
        answer.echoedTaskId !== answer.taskId,
    )
    .map(answer => ({
      kind: ViolationKind.CrossedAnswer,
      subject: `job ${reply.jobId}`,
      detail: `task ${answer.taskId} received the answer of job ${answer.echoedJobId} task ${answer.echoedTaskId}`,
    }));
  const expected =
    reply.outcome === JobOutcome.Complete ? reply.askedTasks : [];
  const received = reply.answers.map(answer => answer.taskId);
  if (hasSameTasks(received, expected)) return crossed;
  const detail = `asked for ${expected.join(', ')}, received ${received.join(', ')}`;
  return [...crossed, createPartialAnswerViolation(reply.jobId, detail)];
}

function hasSameTasks(
  received: readonly TaskId[],
  expected: readonly TaskId[],
): boolean {
  return (
    received.length === expected.length &&
    received.every((taskId, position) => taskId === expected[position])
  );
}

function createPartialAnswerViolation(
  jobId: string,
  detail: string,
): Violation {
  return { kind: ViolationKind.PartialAnswer, subject: `job ${jobId}`, detail };
}

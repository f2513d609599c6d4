/** Checks that replies are whole, uncrossed and true. */
import { JobOutcome, Started, type TaskId } from '@cranberryturn/types';

import type { DecisionIndex } from './index-decisions.js';
import {
  type CheckOptions,
  type ObservedReply,
  type Violation,
  ViolationKind,
} from './violation.js';

/** Finds partial and crossed answers and false statements that nothing was started. */
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
    const wanted = reply.outcome === JobOutcome.Complete ? reply.asked : 0;
    if (answered === wanted && reply.answered.length === wanted) return [];
    return [
      createPartialAnswerViolation(
        reply.jobId,
        `a ${reply.outcome} reply holds ${String(reply.answered.length)} answers to ${String(answered)} of ${String(reply.asked)} tasks`,
      ),
    ];
  });
}

function checkNotStartedReplies(
  index: DecisionIndex,
  options: CheckOptions,
  startedJobs: ReadonlySet<string>,
): Violation[] {
  const denials = [
    ...index.refused.map(({ jobId }) => ({ jobId, by: 'a refusal' })),
    ...index.replied
      .filter(reply => reply.started === Started.No)
      .map(({ jobId }) => ({ jobId, by: 'the log of a reply' })),
    ...(options.replies ?? [])
      .filter(reply => reply.started === Started.No)
      .map(({ jobId }) => ({ jobId, by: 'the reply to the caller' })),
  ];
  return denials
    .filter(({ jobId }) => startedJobs.has(jobId))
    .filter(({ jobId }) => options.resubmittedJobs?.has(jobId) !== true)
    .map(({ jobId, by }) => ({
      kind: ViolationKind.FalseNotStarted,
      subject: `job ${jobId}`,
      detail: `${by} says that nothing was started, but a task of it was`,
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
      detail: `task ${answer.taskId} got the answer of job ${answer.echoedJobId} task ${answer.echoedTaskId}`,
    }));
  const wanted = reply.outcome === JobOutcome.Complete ? reply.askedTasks : [];
  const given = reply.answers.map(answer => answer.taskId);
  if (hasSameTasks(given, wanted)) return crossed;
  const detail = `asked for ${wanted.join(', ')}, received ${given.join(', ')}`;
  return [...crossed, createPartialAnswerViolation(reply.jobId, detail)];
}

function hasSameTasks(
  given: readonly TaskId[],
  wanted: readonly TaskId[],
): boolean {
  return (
    given.length === wanted.length &&
    given.every((taskId, position) => taskId === wanted[position])
  );
}

function createPartialAnswerViolation(
  jobId: string,
  detail: string,
): Violation {
  return { kind: ViolationKind.PartialAnswer, subject: `job ${jobId}`, detail };
}

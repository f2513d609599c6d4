/** Composes the order that places tasks of one step on a worker. */
import type {
  DispatcherId,
  GrantKey,
  Milliseconds,
  RunOrder,
} from '@cranberryturn/types';

import type { ActiveJob, ActiveTask } from './active-job.js';
import type { JobStep } from './transient-job.js';

/** Tasks of one step that are placed alike. */
export interface TaskGroup {
  readonly stepIndex: number;
  readonly step: JobStep;
  readonly tasks: readonly ActiveTask[];
  /** Whether runs of other jobs are kept off their workers meanwhile. */
  readonly runsAlone: boolean;
}

/** The part of a step that one order places on a worker. */
export interface StepOrder extends Pick<TaskGroup, 'step' | 'runsAlone'> {
  readonly dispatcher: DispatcherId;
  readonly estimateMilliseconds: Milliseconds;
  readonly mayWait: boolean;
  readonly grant?: GrantKey | undefined;
  readonly now: Milliseconds;
}

/** Composes the order. */
export function composeOrder(
  { job, dueAt, deadlineAt, priority }: ActiveJob,
  order: StepOrder,
  tasks: readonly ActiveTask[],
): RunOrder {
  const { step, mayWait, runsAlone, grant, now } = order;
  return {
    jobId: job.jobId,
    requestId: job.requestId,
    dispatcher: order.dispatcher,
    service: job.queue.service,
    queue: job.queue.queue,
    specification: job.specification,
    need: step.need,
    priority,
    estimatedMilliseconds: order.estimateMilliseconds,
    dueMilliseconds: Math.round(dueAt - now),
    remainingMilliseconds: Math.round(deadlineAt - now),
    mayWait,
    ...(runsAlone ? { runsAlone } : {}),
    ...(grant === undefined ? {} : { grant }),
    tasks: tasks.map(({ taskId, run }) => ({ taskId, run })),
  };
}

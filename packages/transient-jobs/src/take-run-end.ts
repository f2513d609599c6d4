/** Decides what follows the end of a run: the job ends, or the task waits for another run. */
import { Distribution, type Metrics } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import {
  type RunEnd,
  RunEndReason,
  RunOutcome,
  type TargetId,
} from '@cranberryturn/types';

import { type ActiveTask, TaskPhase } from './active-job.js';
import {
  type KnownWorker,
  noteDelay,
  noteDone,
  noteFailure,
} from './known-worker.js';
import type { RunTimeEstimates } from './run-time-estimates.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';

/** What is learned from ends, and what they are learned for. */
export interface RunEndSurroundings {
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly estimates: RunTimeEstimates;
  /** The worker; undefined when it is gone. */
  readonly known: KnownWorker | undefined;
}

/** Takes in the end of the newest run of a task; returns how its job ends, if it does. */
export function takeRunEnd(
  surroundings: RunEndSurroundings,
  task: ActiveTask,
  workerId: TargetId,
  end: RunEnd,
): TransientJobEnd | undefined {
  switch (end.outcome) {
    case RunOutcome.Done:
      return takeDone(surroundings, task, end);
    case RunOutcome.Failed:
      return takeFailure(surroundings, task, workerId);
    case RunOutcome.Interrupted:
    case RunOutcome.NotStarted:
      takeReturn(surroundings, task, workerId, end);
      return undefined;
  }
}

function takeDone(
  { metrics, estimates, known, timers }: RunEndSurroundings,
  task: ActiveTask,
  { runMilliseconds, waitedMilliseconds }: RunEnd,
): TransientJobEnd | undefined {
  const { queue, steps } = task.job.job;
  task.phase = TaskPhase.Done;
  metrics.record(Distribution.RunMilliseconds, runMilliseconds, queue.service);
  metrics.record(
    Distribution.QueueMilliseconds,
    waitedMilliseconds,
    queue.service,
  );
  if (known !== undefined) {
    const declared = steps[task.step]?.estimatedMilliseconds ?? 0;
    estimates.learn(queue.queue, declared, runMilliseconds, known.speed);
    noteDone(known, task.expectedMilliseconds, runMilliseconds);
    const elapsed = timers.now() - task.placedAt;
    noteDelay(known, elapsed - waitedMilliseconds - runMilliseconds);
  }
  const isWhole = task.job.tasks.every(one => one.phase === TaskPhase.Done);
  return isWhole ? { kind: TransientJobEndKind.Completed } : undefined;
}

function takeFailure(
  { known, timers }: RunEndSurroundings,
  task: ActiveTask,
  workerId: TargetId,
): TransientJobEnd | undefined {
  task.phase = TaskPhase.Waiting;
  task.failures += 1;
  task.excluded.add(workerId);
  if (known !== undefined) noteFailure(known, timers.now());
  if (task.failures < task.job.job.queue.maximumFailures) return undefined;
  return {
    kind: TransientJobEndKind.Failed,
    reason: `task ${task.taskId} failed ${String(task.failures)} times`,
  };
}

/** The run did not end its task: the task is placed again. */
function takeReturn(
  { known, timers }: RunEndSurroundings,
  task: ActiveTask,
  workerId: TargetId,
  { reason }: RunEnd,
): void {
  task.phase = TaskPhase.Waiting;
  const isRefusal =
    reason === RunEndReason.WorkerRefused ||
    reason === RunEndReason.WorkerSilent;
  if (isRefusal && known !== undefined) noteFailure(known, timers.now());
  if (reason === RunEndReason.NoRoom) task.returns += 1;
  if (reason === RunEndReason.WrongService) task.excluded.add(workerId);
}

/** Handles the end of a run: the job ends, or the task waits for another run. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, Distribution, type Metrics } from '@cranberryturn/metrics';
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
  recordDelay,
  recordSuccess,
  recordFailure,
} from './known-worker.js';
import type { RunTimeEstimates } from './run-time-estimates.js';
import { type TransientJobEnd, TransientJobEndKind } from './transient-job.js';

/** Statistics that the end of a run updates. */
export interface RunEndDependencies {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly estimates: RunTimeEstimates;
  /** The worker of the run; undefined when the worker is no longer announced. */
  readonly known: KnownWorker | undefined;
}

/** Handles the end of the latest run of a task. Returns the end of the job, or undefined while the job continues. */
export function handleRunEnd(
  dependencies: RunEndDependencies,
  task: ActiveTask,
  workerId: TargetId,
  end: RunEnd,
): TransientJobEnd | undefined {
  switch (end.outcome) {
    case RunOutcome.Done:
      return handleDone(dependencies, task, end);
    case RunOutcome.Failed:
      return handleFailure(dependencies, task, workerId);
    case RunOutcome.Interrupted:
    case RunOutcome.NotStarted:
      handleReturn(dependencies, task, workerId, end);
      return undefined;
  }
}

function handleDone(
  { metrics, estimates, known, timers }: RunEndDependencies,
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
    const declaredMilliseconds = steps[task.step]?.estimatedMilliseconds ?? 0;
    estimates.recordRunTime(
      queue.queue,
      declaredMilliseconds,
      runMilliseconds,
      known.speed,
    );
    recordSuccess(known, task.expectedMilliseconds, runMilliseconds);
    const elapsedMilliseconds = timers.now() - task.placedAt;
    recordDelay(
      known,
      elapsedMilliseconds - waitedMilliseconds - runMilliseconds,
    );
  }
  const isComplete = task.job.tasks.every(one => one.phase === TaskPhase.Done);
  return isComplete ? { kind: TransientJobEndKind.Completed } : undefined;
}

function handleFailure(
  { known, timers }: RunEndDependencies,
  task: ActiveTask,
  workerId: TargetId,
): TransientJobEnd | undefined {
  task.phase = TaskPhase.Waiting;
  task.failures += 1;
  task.excludedWorkers.add(workerId);
  if (known !== undefined) recordFailure(known, timers.now());
  if (task.failures < task.job.job.queue.maximumFailures) return undefined;
  return {
    kind: TransientJobEndKind.Failed,
    reason: `task ${task.taskId} failed ${String(task.failures)} times`,
  };
}

/** Handles a run that was interrupted or never started. The task is placed again. */
function handleReturn(
  dependencies: RunEndDependencies,
  task: ActiveTask,
  workerId: TargetId,
  end: RunEnd,
): void {
  const { known, timers } = dependencies;
  const { reason } = end;
  task.phase = TaskPhase.Waiting;
  // Neither a failure nor a lack of room: nothing is held against the worker or the task.
  if (reason === RunEndReason.Evacuated)
    reportEvacuatedRun(dependencies, workerId, end);
  const isRefusal =
    reason === RunEndReason.WorkerRefused ||
    reason === RunEndReason.WorkerSilent;
  if (isRefusal && known !== undefined) recordFailure(known, timers.now());
  if (reason === RunEndReason.NoRoom) task.returns += 1;
  if (reason === RunEndReason.WrongService) task.excludedWorkers.add(workerId);
}

function reportEvacuatedRun(
  { metrics, logger, known }: RunEndDependencies,
  workerId: TargetId,
  { requestId, jobId, taskId, run, waitedMilliseconds }: RunEnd,
): void {
  metrics.count(Counter.RunsReturnedEvacuated);
  logger.info('run returned for an evacuation', {
    requestId,
    jobId,
    taskId,
    run,
    worker: workerId,
    dataCentre: known?.worker.dataCentre,
    ageMilliseconds: Math.round(waitedMilliseconds),
  });
}

/**
 * Asks waiting tasks back from full workers when another worker has room. Answers a load near the
 * capacity: run times differ, so that some workers are done with their queue long before others.
 */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type { TargetId } from '@cranberryturn/types';

import { type ActiveTask, mostReturns } from './active-job.js';
import { canEverHold } from './choose-workers.js';
import {
  countFreeProcessors,
  isUsable,
  type KnownWorker,
} from './known-worker.js';
import type { RunTracker } from './run-tracker.js';
import type { WorkerDirectory } from './worker-directory.js';

/** What asking needs. */
export interface AskBackSurroundings {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly runs: RunTracker;
  readonly workers: Pick<WorkerDirectory, 'returnRuns'>;
}

/** Asks back what the worker could start now; what comes back is placed again. */
export function askWaitingBack(
  known: KnownWorker,
  { timers, logger, runs, workers }: AskBackSurroundings,
): void {
  if (!isUsable(known, timers.now())) return;
  if (known.load.waitingWork.some(work => work > 0)) return;
  for (const task of chooseTasks(known, runs.listWaiting())) {
    const { job, taskId, workerId } = task;
    runs.noteAskedBack(task);
    if (workerId === undefined) continue;
    logger.info('waiting task asked back', {
      requestId: job.job.requestId,
      jobId: job.job.jobId,
      taskId,
      worker: workerId,
      free: known.workerId,
      freeProcessors: known.load.free.processors,
    });
    workers.returnRuns(workerId, job.job.jobId, [taskId]);
  }
}

/** Chooses waiting tasks that fit the worker together, the most urgent first. */
export function chooseTasks(
  known: KnownWorker,
  waiting: Iterable<ActiveTask>,
): readonly ActiveTask[] {
  let free = countFreeProcessors(known);
  if (free <= 0) return [];
  const chosen: ActiveTask[] = [];
  const candidates = [...waiting].filter(task => canMove(task, known.workerId));
  for (const task of candidates.sort(compareUrgency)) {
    const step = task.job.job.steps[task.step];
    if (step === undefined || !canEverHold(known, step)) continue;
    if (step.need.processors > free) continue;
    free -= step.need.processors;
    chosen.push(task);
  }
  return chosen;
}

function canMove(task: ActiveTask, workerId: TargetId): boolean {
  return (
    task.workerId !== workerId &&
    task.returns < mostReturns &&
    !task.excluded.has(workerId)
  );
}

function compareUrgency(left: ActiveTask, right: ActiveTask): number {
  const byPriority = left.job.job.queue.priority - right.job.job.queue.priority;
  return byPriority === 0 ? left.job.dueAt - right.job.dueAt : byPriority;
}

/**
 * Asks waiting tasks back from full workers when another worker has room. Answers a load near the
 * capacity: run times differ, so that some workers are done with their queue long before others.
 */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, TargetId } from '@cranberryturn/types';

import { type ActiveTask, mostReturns } from './active-job.js';
import { canEverHold } from './choose-workers.js';
import {
  countFreeProcessors,
  countWorkAhead,
  isUsable,
  type KnownWorker,
} from './known-worker.js';
import type { RunTracker } from './run-tracker.js';
import type { WorkerDirectory } from './worker-directory.js';

/** A shorter wait is not worth a move, which takes two round trips and may find the room taken. */
const leastGain: Milliseconds = 30;

/** What asking needs. */
export interface AskBackSurroundings {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly runs: RunTracker;
  readonly workers: Pick<WorkerDirectory, 'returnRuns' | 'find'>;
}

/** Asks back what the worker could start now; what comes back is placed again. */
export function askWaitingBack(
  known: KnownWorker,
  { timers, logger, runs, workers }: AskBackSurroundings,
): void {
  if (!isUsable(known, timers.now())) return;
  if (known.load.waitingWork.some(work => work > 0)) return;
  const movable = [...runs.listWaiting()].filter(task =>
    canMove(task, known.workerId, workers, timers.now()),
  );
  for (const task of chooseTasks(known, movable)) {
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

/** Chooses tasks that fit the worker together, the most urgent first. */
function chooseTasks(
  known: KnownWorker,
  movable: readonly ActiveTask[],
): readonly ActiveTask[] {
  let free = countFreeProcessors(known);
  const chosen: ActiveTask[] = [];
  for (const task of movable.toSorted(compareUrgency)) {
    const step = task.job.job.steps[task.step];
    if (step === undefined || !canEverHold(known, step)) continue;
    if (step.need.processors > free) continue;
    free -= step.need.processors;
    chosen.push(task);
  }
  return chosen;
}

function canMove(
  task: ActiveTask,
  workerId: TargetId,
  workers: AskBackSurroundings['workers'],
  now: Milliseconds,
): boolean {
  if (task.workerId === undefined || task.workerId === workerId) return false;
  if (task.returns >= mostReturns || task.excluded.has(workerId)) return false;
  const known = workers.find(task.workerId);
  if (known === undefined) return false;
  const { queue, steps } = task.job.job;
  const processors = steps[task.step]?.need.processors ?? 0;
  const own = Math.floor(processors * task.expectedMilliseconds);
  const waiting = countWorkAhead(known, queue.priority);
  // By the newest report of its worker, the task has started.
  if (waiting < own) return false;
  // One that has waited for longer may be behind a run that takes far longer than estimated.
  if (now - task.placedAt >= leastGain) return true;
  return (waiting - own) / known.worker.capacity.processors >= leastGain;
}

function compareUrgency(left: ActiveTask, right: ActiveTask): number {
  const byPriority = left.job.job.queue.priority - right.job.job.queue.priority;
  return byPriority === 0 ? left.job.dueAt - right.job.dueAt : byPriority;
}

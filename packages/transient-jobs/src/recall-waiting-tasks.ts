/**
 * Recalls queued tasks from full workers when another worker has free capacity. Needed near full
 * load: run times differ, so some workers empty their queue long before others.
 */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, TargetId } from '@cranberryturn/types';

import { type ActiveTask, maximumReturns } from './active-job.js';
import { canEverHold } from './choose-workers.js';
import type { CrashContainment } from './crashes/crash-containment.js';
import {
  estimateFreeProcessors,
  sumWorkAhead,
  isUsable,
  isWithdrawn,
  type KnownWorker,
} from './known-worker.js';
import type { RunTracker } from './run-tracker.js';
import type { WorkerDirectory } from './worker-directory.js';

/** Minimum remaining wait for a move: a move takes two round trips, and the capacity may be gone by then. */
const minimumGainMilliseconds: Milliseconds = 30;

/** Dependencies of a recall. */
export interface RecallDependencies {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly runs: RunTracker;
  readonly containment: Pick<CrashContainment, 'restrictHosts'>;
  readonly workers: Pick<WorkerDirectory, 'returnRuns' | 'findWorker'>;
}

/** Recalls tasks from other workers that the given worker could start now. Recalled tasks are placed again. */
export function recallWaitingTasks(
  known: KnownWorker,
  { timers, logger, runs, workers, containment }: RecallDependencies,
): void {
  if (!isUsable(known, timers.now())) return;
  if (known.load.waitingWork.some(work => work > 0)) return;
  const mayUse = (task: ActiveTask, { host }: KnownWorker): boolean => {
    const { confinedTo, avoided } = containment.restrictHosts(task.job, [task]);
    return confinedTo?.has(host) ?? !avoided.has(host);
  };
  const movable = [...runs.listWaitingTasks()].filter(
    task =>
      canMove(task, known.workerId, workers, timers.now()) &&
      mayUse(task, known),
  );
  for (const task of chooseTasks(known, movable)) {
    const { job, taskId, workerId, sessionNumber } = task;
    runs.markRecalled(task);
    if (sessionNumber === undefined) continue;
    logger.info('waiting task asked back', {
      requestId: job.job.requestId,
      jobId: job.job.jobId,
      taskId,
      worker: workerId,
      free: known.workerId,
      freeProcessors: known.load.free.processors,
    });
    const { jobId } = job.job;
    workers.returnRuns(sessionNumber, { jobId, taskIds: [taskId] });
  }
}

/** Chooses tasks that fit on the worker together, the most urgent first. */
function chooseTasks(
  known: KnownWorker,
  movable: readonly ActiveTask[],
): readonly ActiveTask[] {
  let free = estimateFreeProcessors(known);
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
  workers: RecallDependencies['workers'],
  now: Milliseconds,
): boolean {
  if (task.workerId === undefined || task.workerId === workerId) return false;
  if (task.returns >= maximumReturns || task.excludedWorkers.has(workerId))
    return false;
  const known = workers.findWorker(task.workerId);
  // The sidecar of an evacuated worker returns its queued runs by itself.
  if (known === undefined || isWithdrawn(known)) return false;
  const { steps } = task.job.job;
  const processors = steps[task.step]?.need.processors ?? 0;
  const ownWork = Math.floor(processors * task.expectedMilliseconds);
  const waiting = sumWorkAhead(known, task.job.priority);
  // The latest load report of its worker shows that the task has started.
  if (waiting < ownWork) return false;
  // A task that has already waited this long may be queued behind a run that exceeds its estimate.
  if (now - task.placedAt >= minimumGainMilliseconds) return true;
  return (
    (waiting - ownWork) / known.worker.capacity.processors >=
    minimumGainMilliseconds
  );
}

function compareUrgency(left: ActiveTask, right: ActiveTask): number {
  const byPriority = left.job.priority - right.job.priority;
  return byPriority === 0 ? left.job.dueAt - right.job.dueAt : byPriority;
}

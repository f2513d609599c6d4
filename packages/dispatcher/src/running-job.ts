/** State of one job in this dispatcher. */
import { AnswerCollection, type JobEntry } from '@cranberryturn/jobs';
import type { TimerService } from '@cranberryturn/timers';
import type {
  JobRequest,
  Milliseconds,
  OwnershipEpoch,
} from '@cranberryturn/types';

/** A job from its arrival to its result. Times are those of the timer service. */
export interface RunningJob {
  readonly request: JobRequest;
  readonly requestId: string;
  readonly arrivedAt: Milliseconds;
  readonly deadline: Milliseconds;
  readonly collection: AnswerCollection;
  readonly entry: JobEntry;
  /** Whether the body fit within the limit of held bytes on arrival. */
  readonly hasRoom: boolean;
  /** Epoch of the granted claim; undefined while not claimed. */
  claimedEpoch: OwnershipEpoch | undefined;
  /** Reason of a cancellation that arrived during the claim. */
  cancelReason: string | undefined;
  /** Maximum run time among the attempts of the job. */
  longestRunMilliseconds: Milliseconds;
}

/** Creates the state of a job that has just arrived. */
export function createRunningJob(
  request: JobRequest,
  requestId: string,
  entry: JobEntry,
  hasRoom: boolean,
  timers: TimerService,
): RunningJob {
  const arrivedAt = timers.now();
  const taskIds = request.tasks.map(task => task.taskId);
  return {
    request,
    requestId,
    arrivedAt,
    deadline: arrivedAt + request.deadlineMilliseconds,
    collection: new AnswerCollection(request.jobId, taskIds),
    entry,
    hasRoom,
    claimedEpoch: undefined,
    cancelReason: undefined,
    longestRunMilliseconds: 0,
  };
}

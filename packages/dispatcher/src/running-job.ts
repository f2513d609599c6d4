/** One job that runs in this dispatcher. */
import { AnswerCollection, type JobEntry } from '@cranberryturn/jobs';
import type { TimerService } from '@cranberryturn/timers';
import type {
  JobRequest,
  Milliseconds,
  OwnershipEpoch,
} from '@cranberryturn/types';

/** One job that runs in this dispatcher. */
export interface RunningJob {
  readonly request: JobRequest;
  readonly requestId: string;
  readonly arrivedAt: Milliseconds;
  readonly deadline: Milliseconds;
  readonly collection: AnswerCollection;
  readonly entry: JobEntry;
  /** Whether its body stayed within the limit of what is held. */
  readonly hasRoom: boolean;
  /** Epoch of the claim; undefined while there is none. */
  claimedEpoch: OwnershipEpoch | undefined;
  /** Why the caller needs no answer any more, while its claim is under way. */
  cancelReason: string | undefined;
  /** Longest time that a target took for a task. */
  longestRunMilliseconds: Milliseconds;
}

/** Creates the record of a job that has just arrived. */
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

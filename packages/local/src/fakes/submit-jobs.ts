/** Submits jobs to the dispatchers of an in-memory cluster. */
import type { SubmissionResult } from '@cranberryturn/dispatcher';
import type { JobResult, Milliseconds } from '@cranberryturn/types';

import {
  composeJob,
  type MemoryCluster,
  type MemoryDispatcher,
} from './memory-cluster.js';

/** Deadline of every submitted job. */
export const deadlineMilliseconds: Milliseconds = 20_000;

/** State of a submission, which a test reads without waiting for the end. */
export interface PendingSubmission {
  result: JobResult | undefined;
  /** Undefined while the caller waits. */
  submission: SubmissionResult | undefined;
}

/** Returns the dispatcher at a position, counted from 0. */
export function getDispatcher(
  cluster: MemoryCluster,
  position: number,
): MemoryDispatcher {
  const found = cluster.dispatchers[position];
  if (found === undefined) throw new Error('There is no such dispatcher.');
  return found;
}

/** Submits a job without waiting for its result. */
export function submitJob(
  owner: MemoryDispatcher,
  jobId: string,
  tasks: number,
): PendingSubmission {
  const pending: PendingSubmission = {
    result: undefined,
    submission: undefined,
  };
  const job = composeJob(jobId, tasks, deadlineMilliseconds);
  void owner.dispatcher.jobs.submitJob(job, 'request-1').then(submission => {
    pending.submission = submission;
    if ('result' in submission) pending.result = submission.result;
  });
  return pending;
}

/** Finds the largest number of starts of any task. */
export function findMaximumStarts(cluster: MemoryCluster): number {
  return Math.max(0, ...cluster.countStarts().values());
}

/** Silences every connection between two processes, in both directions. */
export function silenceConnections(
  cluster: MemoryCluster,
  left: string,
  right: string,
): void {
  for (const connection of cluster.network.connections) {
    const ends = [connection.from, connection.to];
    if (ends.includes(left) && ends.includes(right)) connection.isSilent = true;
  }
}

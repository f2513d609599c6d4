/** Handles calls from other dispatchers, and queries them about jobs. */
import type { JobEntry } from '@cranberryturn/jobs';
import type { RosterFeed } from '@cranberryturn/membership';
import type { Scheduler, SharingScheduler } from '@cranberryturn/scheduling';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  DispatcherIdentity,
  DispatcherRecord,
  JobId,
  JobResult,
  Milliseconds,
} from '@cranberryturn/types';
import {
  type DispatcherCall,
  DispatcherMethod,
  type DispatcherReply,
  DispatcherReplyKind,
} from '@cranberryturn/wire';

import type { DispatcherLinks } from './dispatcher-links.js';
import type { JobService } from './job-service.js';

const lookupTimeoutMilliseconds: Milliseconds = 1_000;

/** A scheduler that may support lending of limit shares. */
export type LendingScheduler = Scheduler &
  Partial<Pick<SharingScheduler, 'lendShares' | 'confirmMembership'>>;

/** A call about a job or about limit shares. */
export type JobOrShareCall = Exclude<
  DispatcherCall,
  { readonly method: DispatcherMethod.InviteTargets }
>;

/** Handles a call from another dispatcher. Replies not-owner for a job that is not known here. */
export async function handleDispatcherCall(
  jobs: JobService,
  scheduler: LendingScheduler | undefined,
  call: JobOrShareCall,
  timers: TimerService,
): Promise<DispatcherReply> {
  if (call.method === DispatcherMethod.BorrowShares) {
    const reply = scheduler?.lendShares?.(call.request);
    return reply === undefined
      ? { kind: DispatcherReplyKind.NotOwner }
      : { kind: DispatcherReplyKind.Shares, reply };
  }
  const entry = jobs.find(call.jobId);
  if (entry === undefined) return { kind: DispatcherReplyKind.NotOwner };
  switch (call.method) {
    case DispatcherMethod.JoinJob:
      if (entry.digest !== call.digest) {
        return { kind: DispatcherReplyKind.NotOwner };
      }
      return waitForResult(entry, call.waitMilliseconds, timers);
    case DispatcherMethod.CancelJob:
      await jobs.cancelJob(call.jobId);
      return { kind: DispatcherReplyKind.Result, result: await entry.finished };
    case DispatcherMethod.FindJob:
      return composeEntryReply(entry);
  }
}

async function waitForResult(
  entry: JobEntry,
  waitMilliseconds: Milliseconds,
  timers: TimerService,
): Promise<DispatcherReply> {
  await Promise.race([entry.finished, sleep(timers, waitMilliseconds)]);
  return composeEntryReply(entry);
}

function composeEntryReply(entry: JobEntry): DispatcherReply {
  return entry.result === undefined
    ? { kind: DispatcherReplyKind.Running }
    : { kind: DispatcherReplyKind.Result, result: entry.result };
}

/** Lists the dispatchers of the roster without this one. */
export function listOtherDispatchers(
  roster: RosterFeed,
  self: DispatcherIdentity,
): readonly DispatcherRecord[] {
  return roster
    .current()
    .dispatchers.filter(one => one.dispatcherId !== self.dispatcherId);
}

/**
 * Queries all other dispatchers for the result of a job, and cancels the job there on
 * request. Resolves with undefined when none returned a result.
 */
export async function findResultElsewhere(
  links: DispatcherLinks,
  others: readonly DispatcherRecord[],
  jobId: JobId,
  shouldCancel: boolean,
): Promise<JobResult | undefined> {
  const method = shouldCancel
    ? DispatcherMethod.CancelJob
    : DispatcherMethod.FindJob;
  const replies = await Promise.all(
    others.map(one =>
      links.call(one.address, { method, jobId }, lookupTimeoutMilliseconds),
    ),
  );
  for (const reply of replies) {
    if (reply.isErr()) continue;
    if (reply.value.kind !== DispatcherReplyKind.Result) continue;
    return reply.value.result;
  }
  return undefined;
}

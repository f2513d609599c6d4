/** State and faults of the in-memory worker. */
import type { Milliseconds, WorkerRun } from '@cranberryturn/types';

import {
  type EndedRun,
  type StartRunOrder,
  type WorkerPort,
  WorkerRunOutcome,
} from '../ports/worker.js';

/** An active run. */
export interface FakeRun extends StartRunOrder {
  readonly startedAt: Milliseconds;
  endsAt: Milliseconds;
  end: WorkerRunOutcome;
  /** Whether its lease has ended; no order keeps it active any more. */
  hasExpired: boolean;
}

/** A fake worker: its runs, its history, and the faults to inject. */
export interface FakeWorker {
  readonly run: WorkerRun;
  readonly port: WorkerPort;
  /** Active runs by task name. */
  readonly activeRuns: Map<string, FakeRun>;
  /** Every run that was started, in order. */
  readonly starts: FakeRun[];
  readonly ended: EndedRun[];
  /** Highest number of processors that were in use at the same time. */
  maximumProcessorsInUse: number;
  /** Highest sequence number of an end that the sidecar acknowledged. */
  acknowledgedSequence: number;
  /** Fault: orders are neither executed nor replied to. */
  isSilent: boolean;
  /** Whether no entry of its lists of active runs can be read. */
  hasUnreadableLists: boolean;
  /** Fault: the next start order has no reply and is executed after this delay. */
  nextStartDelayMilliseconds: Milliseconds | undefined;
  /** Fault: the next stop order has no reply and is executed after this delay. */
  nextStopDelayMilliseconds: Milliseconds | undefined;
  /** Fault: the next renewal has no reply and is executed after this delay. */
  nextRenewalDelayMilliseconds: Milliseconds | undefined;
  /** Fault: the next start order is executed, and its reply is lost. */
  shouldLoseNextReply: boolean;
  /** Fault: the next stop order is neither executed nor replied to. */
  shouldLoseNextStop: boolean;
  /** Fault: so many further stop orders are neither executed nor replied to. */
  stopsToLose: number;
  /** Fault: the reply to the renewals that wait now is lost. */
  loseWaitingRenewals(): void;
  /** Fault: orders are executed, and their replies are lost. */
  losesReplies: boolean;
  /** Time after which orders are executed and replied to; a longer one than the reply timeout loses the reply. */
  replyDelayMilliseconds: Milliseconds;
  /** Fault: start orders are refused as unhealthy. */
  isUnhealthy: boolean;
  /** How far the clock of the worker is ahead of its sidecar's, which stood still during a suspension. */
  clockAheadMilliseconds: Milliseconds;
  /** Time that a stop takes. */
  stopMilliseconds: Milliseconds;
  /** Time from the end of the lease until the runs have ended; they are listed as active meanwhile. */
  expiryMilliseconds: Milliseconds;
  /** When the lease ends, on the clock of the test. */
  readonly leaseEndsAt: Milliseconds;
  /** Run time of the tasks that start from now on. */
  runMilliseconds: Milliseconds;
  /** Run time of one task; `runMilliseconds` where it chooses none. */
  chooseRunMilliseconds:
    ((order: StartRunOrder) => Milliseconds | undefined) | undefined;
  /** Outcome of the tasks that start from now on. */
  nextOutcome: WorkerRunOutcome;
  /** Drops all active runs without reporting their ends; further orders fail with a connection error. */
  crash(): void;
}

/** Ends a run, at this time at the latest, as its lease is over. */
export function expireRun(run: FakeRun, endsAt: Milliseconds): void {
  if (run.hasExpired) return;
  run.hasExpired = true;
  if (endsAt > run.endsAt) return;
  run.endsAt = endsAt;
  run.end = WorkerRunOutcome.Expired;
}

/** Stops a run, which takes some time. */
export function stopRun(
  run: FakeRun,
  now: Milliseconds,
  stopMilliseconds: Milliseconds,
): void {
  run.endsAt = Math.min(run.endsAt, now + stopMilliseconds);
  if (run.endsAt > now && !run.hasExpired) run.end = WorkerRunOutcome.Stopped;
}

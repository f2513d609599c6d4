/** An in-memory target that counts starts and answers after a set run time. */
import {
  type TargetFailure,
  TargetFailureKind,
  type TargetPort,
} from '@cranberryturn/sidecar';
import { sleep, type TimerService } from '@cranberryturn/timers';
import {
  type AttemptStart,
  type JsonText,
  type Milliseconds,
  NotStartedReason,
} from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

/** An in-memory target whose behaviour a test can change. */
export interface FakeTarget extends TargetPort {
  /** Number of starts of each task, by `jobId taskId`. */
  readonly starts: Map<string, number>;
  runMilliseconds: Milliseconds;
  isFailing: boolean;
  /** Delay before a lease is granted or refused. */
  leaseDelayMilliseconds: Milliseconds;
  /** Whether leases are refused, so that attempts fail before their start. */
  isRefusingLeases: boolean;
}

/** Creates an in-memory target that answers every task and grants leases without delay. */
export function createFakeTarget(
  timers: TimerService,
  runMilliseconds: Milliseconds,
): FakeTarget {
  const target: FakeTarget = {
    starts: new Map(),
    runMilliseconds,
    isFailing: false,
    leaseDelayMilliseconds: 0,
    isRefusingLeases: false,
    runAttempt: attempt => new ResultAsync(run(target, timers, attempt)),
    close: () => Promise.resolve(),
  };
  return target;
}

async function run(
  target: FakeTarget,
  timers: TimerService,
  attempt: AttemptStart,
): Promise<Result<JsonText, TargetFailure>> {
  if (target.leaseDelayMilliseconds > 0) {
    await sleep(timers, target.leaseDelayMilliseconds);
  }
  if (target.isRefusingLeases) {
    return err({
      kind: TargetFailureKind.NotAsked,
      cause: NotStartedReason.LeaseRefused,
      reason: 'The lease was refused.',
    });
  }
  const key = `${attempt.jobId} ${attempt.taskId}`;
  target.starts.set(key, (target.starts.get(key) ?? 0) + 1);
  await sleep(timers, target.runMilliseconds);
  if (target.isFailing) {
    return err({
      kind: TargetFailureKind.Failed,
      reason: 'The fake target fails every task.',
    });
  }
  return ok(JSON.stringify({ answerOf: key }));
}

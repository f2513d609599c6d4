/** A target in memory that counts its starts and answers after a set time. */
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

/** A target in memory. */
export interface FakeTarget extends TargetPort {
  /** Starts by job and task, as `job task`. */
  readonly starts: Map<string, number>;
  runMilliseconds: Milliseconds;
  isFailing: boolean;
  /** Time that a lease takes. */
  leaseDelayMilliseconds: Milliseconds;
  /** Whether leases are refused. */
  isRefusingLeases: boolean;
}

/** Creates a target in memory. */
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
      reason: 'There is no lease.',
    });
  }
  const key = `${attempt.jobId} ${attempt.taskId}`;
  target.starts.set(key, (target.starts.get(key) ?? 0) + 1);
  await sleep(timers, target.runMilliseconds);
  if (target.isFailing) {
    return err({ kind: TargetFailureKind.Failed, reason: 'It fails.' });
  }
  return ok(JSON.stringify({ answerOf: key }));
}

/** A target in memory that counts its starts and answers after a set time. */
import {
  type TargetFailure,
  TargetFailureKind,
  type TargetPort,
} from '@cranberryturn/sidecar';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  AttemptStart,
  JsonText,
  Milliseconds,
} from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

/** A target in memory. */
export interface FakeTarget extends TargetPort {
  /** Starts by job and task, as `job task`. */
  readonly starts: Map<string, number>;
  runMilliseconds: Milliseconds;
  failing: boolean;
}

/** Creates a target in memory. */
export function createFakeTarget(
  timers: TimerService,
  runMilliseconds: Milliseconds,
): FakeTarget {
  const target: FakeTarget = {
    starts: new Map(),
    runMilliseconds,
    failing: false,
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
  const key = `${attempt.jobId} ${attempt.taskId}`;
  target.starts.set(key, (target.starts.get(key) ?? 0) + 1);
  await sleep(timers, target.runMilliseconds);
  if (target.failing) {
    return err({ kind: TargetFailureKind.Failed, reason: 'It fails.' });
  }
  return ok(JSON.stringify({ answerOf: key }));
}

/** A target under the manual clock that supports the faults of the stand-in target. */
import {
  type TargetFailure,
  TargetFailureKind,
  type TargetPort,
} from '@cranberryturn/sidecar';
import {
  createRunningTasks,
  createStartCounts,
  TaskRunOutcome,
  getRunTimeFactor,
  type StartCounts,
  type TargetFault,
  TargetFaultKind,
  taskPayloadSchema,
  TaskTreatment,
  selectTreatment,
} from '@cranberryturn/stand-ins';
import type { TimerService } from '@cranberryturn/timers';
import type { AttemptStart, JsonText, TargetId } from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

/** A target whose faults are set by the trace. */
export interface SimulatedTarget extends TargetPort {
  readonly starts: StartCounts;
  setFault(fault: TargetFault): void;
  /** Ends all running tasks. */
  kill(): void;
}

/** Creates a target whose tasks take their time from `timers`. */
export function createSimulatedTarget(
  targetId: TargetId,
  timers: TimerService,
): SimulatedTarget {
  const starts = createStartCounts(targetId);
  const running = createRunningTasks(timers);
  let fault: TargetFault = { kind: TargetFaultKind.None };
  let faultSetAt = timers.now();

  const run = async (
    attempt: AttemptStart,
    signal: AbortSignal,
  ): Promise<Result<JsonText, TargetFailure>> => {
    const { jobId, taskId } = attempt;
    const payload = taskPayloadSchema.parse(JSON.parse(attempt.payload));
    starts.add(jobId, taskId);
    const treatment = selectTreatment(fault, timers.now() - faultSetAt);
    if (treatment === TaskTreatment.Fail)
      return createFailure('fails every task');
    const duration = (payload.runMilliseconds ?? 0) * getRunTimeFactor(fault);
    const hangs = treatment === TaskTreatment.Hang;
    signal.addEventListener('abort', () => running.stop(jobId, taskId));
    const end = await running.run(jobId, taskId, hangs ? undefined : duration);
    if (end === TaskRunOutcome.Stopped)
      return createFailure('the call was given up');
    if (treatment === TaskTreatment.Drop)
      return createFailure('the connection ended');
    const answer = {
      jobId,
      taskId,
      attempt: attempt.attempt,
      target: targetId,
    };
    return ok(JSON.stringify(answer));
  };

  return {
    starts,
    runAttempt: (attempt, signal) => new ResultAsync(run(attempt, signal)),
    setFault: next => {
      fault = next;
      faultSetAt = timers.now();
    },
    kill: () => {
      running.stopAll();
    },
    close: () => Promise.resolve(),
  };
}

function createFailure(reason: string): Result<JsonText, TargetFailure> {
  return err({ kind: TargetFailureKind.Failed, reason });
}

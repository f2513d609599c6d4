/** Runs each attempt under a lease from the platform. */
import { RefusedError } from '@cranberryturn/errors';
import {
  type TimerService,
  type TimerSubscription,
  watchSuspension,
} from '@cranberryturn/timers';
import {
  type AttemptStart,
  CancelledTaskTreatment,
  type JsonText,
  type Milliseconds,
  NotStartedReason,
} from '@cranberryturn/types';
import { err, type Result, ResultAsync } from 'neverthrow';

import type { PlatformLease, PlatformPort } from './ports/platform.js';
import {
  type TargetFailure,
  TargetFailureKind,
  type TargetPort,
} from './ports/target.js';

/** Dependencies and settings of a leased target. */
export interface LeasedTargetOptions {
  readonly target: TargetPort;
  readonly platform: PlatformPort;
  readonly timers: TimerService;
  /** What happens to a task when its attempt is cancelled. */
  readonly cancelledTasks: CancelledTaskTreatment;
  /** Fraction of a processor that a throttled task may use, from 0 to 1. */
  readonly throttleShare: number;
}

const renewalsPerLease = 3;
const minimumRenewalMilliseconds: Milliseconds = 10;
/** How long the call to the target stays open after the platform stopped the task. */
const stopGraceMilliseconds: Milliseconds = 1_000;

/**
 * Wraps a target so that each of its tasks holds a lease while it runs. An
 * attempt without a lease is not sent to the target.
 */
export function createLeasedTarget(options: LeasedTargetOptions): TargetPort {
  return {
    runAttempt: (attempt, signal) =>
      new ResultAsync(runUnderLease(options, attempt, signal)),
    close: async () => {
      await options.target.close();
      await options.platform.close();
    },
  };
}

async function runUnderLease(
  options: LeasedTargetOptions,
  attempt: AttemptStart,
  signal: AbortSignal,
): Promise<Result<JsonText, TargetFailure>> {
  const { platform, target, timers } = options;
  const requestedAt = timers.now();
  const suspension = watchSuspension(timers);
  const started = await platform.startLease(attempt);
  if (started.isErr()) {
    return err(
      composeNotAsked(NotStartedReason.LeaseRefused, started.error.message),
    );
  }
  // The clock may have stood still while the lease went on.
  const waitedMilliseconds = timers.now() - requestedAt + suspension.check();
  // The lease may have begun as early as the request.
  const lease: PlatformLease = {
    ...started.value,
    expiresInMilliseconds:
      started.value.expiresInMilliseconds - waitedMilliseconds,
  };
  const remainingMilliseconds =
    attempt.remainingMilliseconds - waitedMilliseconds;
  const refusal = findRefusal(signal, remainingMilliseconds, lease);
  if (refusal !== undefined) {
    void platform.endLease(lease.leaseId);
    return err(refusal);
  }
  const callAbort = new AbortController();
  const holder = new LeaseHolder(options, lease, callAbort);
  const cancel = (): void => {
    void holder.cancelTask(signal.reason);
  };
  signal.addEventListener('abort', cancel, { once: true });
  const answer = await target.runAttempt(
    { ...attempt, remainingMilliseconds },
    callAbort.signal,
  );
  signal.removeEventListener('abort', cancel);
  holder.release();
  return answer;
}

function findRefusal(
  signal: AbortSignal,
  remainingMilliseconds: Milliseconds,
  lease: PlatformLease,
): TargetFailure | undefined {
  if (signal.aborted) {
    return composeNotAsked(
      NotStartedReason.Cancelled,
      'The attempt was cancelled before its lease was granted.',
    );
  }
  if (remainingMilliseconds <= 0) {
    return composeNotAsked(
      NotStartedReason.DeadlinePassed,
      'The deadline passed before the lease was granted.',
    );
  }
  if (lease.expiresInMilliseconds > 0) return undefined;
  return composeNotAsked(
    NotStartedReason.LeaseRefused,
    'The lease may have expired before its grant arrived.',
  );
}

function composeNotAsked(
  cause: NotStartedReason,
  reason: string,
): TargetFailure {
  return { kind: TargetFailureKind.NotAsked, cause, reason };
}

/** Renews one lease while its task runs, and cancels the task through the platform. */
class LeaseHolder {
  readonly #options: LeasedTargetOptions;
  readonly #leaseId: string;
  readonly #callAbort: AbortController;
  #renewalTimer: TimerSubscription;
  #graceTimer: TimerSubscription | undefined;
  #released = false;

  constructor(
    options: LeasedTargetOptions,
    lease: PlatformLease,
    callAbort: AbortController,
  ) {
    this.#options = options;
    this.#leaseId = lease.leaseId;
    this.#callAbort = callAbort;
    this.#renewalTimer = this.#scheduleRenewal(lease.expiresInMilliseconds);
  }

  /** Ends the lease; call when the task no longer runs. */
  release(): void {
    this.#released = true;
    this.#renewalTimer.cancel();
    this.#graceTimer?.cancel();
    void this.#options.platform.endLease(this.#leaseId);
  }

  /**
   * Stops or throttles the task. A throttled task keeps its call; a stopped one
   * loses it after a grace period, and at once when the platform fails, so that
   * the slot becomes free.
   */
  async cancelTask(reason: unknown): Promise<void> {
    const isTreatmentApplied = await this.#applyTreatment();
    if (this.#released) return;
    if (!isTreatmentApplied) {
      this.#callAbort.abort(reason);
      return;
    }
    if (this.#options.cancelledTasks === CancelledTaskTreatment.Throttle) {
      return;
    }
    this.#graceTimer = this.#options.timers.after(stopGraceMilliseconds, () => {
      this.#callAbort.abort(reason);
    });
  }

  /** Returns whether the platform confirmed the stop or throttle. */
  async #applyTreatment(): Promise<boolean> {
    const { platform, cancelledTasks, throttleShare } = this.#options;
    switch (cancelledTasks) {
      case CancelledTaskTreatment.Stop:
        return (await platform.stopTask(this.#leaseId)).isOk();
      case CancelledTaskTreatment.CheckpointAndStop:
        await platform.checkpointTask(this.#leaseId);
        return (await platform.stopTask(this.#leaseId)).isOk();
      case CancelledTaskTreatment.Throttle: {
        const throttled = await platform.throttleTask(
          this.#leaseId,
          throttleShare,
        );
        return throttled.isOk();
      }
    }
  }

  #scheduleRenewal(expiresInMilliseconds: Milliseconds): TimerSubscription {
    const delay = Math.max(
      minimumRenewalMilliseconds,
      expiresInMilliseconds / renewalsPerLease,
    );
    return this.#options.timers.after(delay, () => {
      void this.#renewLease(expiresInMilliseconds);
    });
  }

  /** A refused renewal means that the lease is lost; after a connection error the renewal is tried again. */
  async #renewLease(expiresInMilliseconds: Milliseconds): Promise<void> {
    const renewed = await this.#options.platform.renewLease(this.#leaseId);
    if (this.#released) return;
    if (renewed.isErr() && renewed.error instanceof RefusedError) {
      this.#callAbort.abort(new Error('the lease of the task was lost'));
      return;
    }
    this.#renewalTimer = this.#scheduleRenewal(
      renewed.isOk()
        ? renewed.value.expiresInMilliseconds
        : expiresInMilliseconds,
    );
  }
}

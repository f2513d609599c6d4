/**
 * How long the orders and runs of a dispatcher are valid: one sum, derived from the bounds of the deployment
 * (docs/decisions/run-validity.md).
 */
import type { Milliseconds } from '@cranberryturn/types';

/** Bounds of a deployment that the validity of runs is derived from. */
export interface ExecutionBounds {
  /** Callers whose connection has ended submit their job again after this time at the earliest, to any dispatcher. */
  readonly resendMilliseconds: Milliseconds;
  /** Longest time that a worker takes to stop a run. */
  readonly stopMilliseconds: Milliseconds;
  /** Longest lease that a worker grants. */
  readonly leaseMilliseconds: Milliseconds;
}

/**
 * Validity of the orders and runs of one dispatcher at one sidecar. Times are counted from the stamp of the sidecar that
 * the dispatcher echoed last.
 */
export interface RunValidity {
  /** No order to the worker is valid for longer, so each run has ended by this time, that of a stop, and that by which a worker is late. */
  readonly orderMilliseconds: Milliseconds;
  /**
   * Longest lease of a worker that one order grants. No run starts under a lease that is longer than the echo of its dispatcher
   * allows, and leases never become shorter; so dispatchers that are heard as usual need not wait for the end of one.
   */
  readonly grantMilliseconds: Milliseconds;
  /** Longest lease that a worker grants, whatever the deadline of an order. */
  readonly leaseMilliseconds: Milliseconds;
  /** After this time the sidecar stops the runs of a silent dispatcher, so that it can renew those of the others. */
  readonly renewalMilliseconds: Milliseconds;
  /** After this time, counted from the last stamp received, a dispatcher considers the runs of a silent sidecar ended. */
  readonly endedMilliseconds: Milliseconds;
  /** Maximum time between messages while a run is queued or executes; a heartbeat fills gaps. */
  readonly heartbeatMilliseconds: Milliseconds;
  /** Longest wait of a renewal at the worker for the end of a run, after which the next one follows. */
  readonly renewalWaitMilliseconds: Milliseconds;
}

/** Share of the resend time within which the close of a connection reaches its dispatcher. */
const closeDeliveryShare = 0.1;
/** Share of the resend time by which a worker on a busy host ends runs late. */
const lateEndShare = 0.05;
/** Interval at which a sidecar looks for runs whose dispatcher is silent. */
export const leaseCheckInterval: Milliseconds = 50;
/** After a silent dispatcher is noticed: a stop, and as many checks for its confirmation and the next renewal. */
const checksBeforeExpiry = 3;
const maximumHeartbeatInterval: Milliseconds = 250;
/** Age of the echo of a dispatcher without runs that is heard as usual. */
const usualEchoAge: Milliseconds = 450;
const minimumGrantShare = 0.5;
/** Heartbeats within the time for which runs are renewed, so that one or two of them may be late. */
const heartbeatsPerRenewal = 3;

const maximumRenewalWait: Milliseconds = 200;
const minimumRenewalWait: Milliseconds = 50;
const renewalsPerLease = 3;
/** From the end of the wait of a renewal that is lost until the next one arrives: the longest reply timeout, and a question. */
export const lostRenewalMilliseconds: Milliseconds = 320;
/** Share of a lease that is certain, as it is computed for a slow clock. */
export const certainLeaseShare = 0.98;

/** Bounds of a deployment that states none. */
export const defaultExecutionBounds: ExecutionBounds = {
  resendMilliseconds: 1_300,
  stopMilliseconds: 50,
  leaseMilliseconds: 1_000,
};

/** Derives the validity of runs. When a caller submits its job again, the runs of the earlier submission have ended. */
export function deriveRunValidity({
  resendMilliseconds,
  stopMilliseconds,
  leaseMilliseconds,
}: ExecutionBounds): RunValidity {
  const endedMilliseconds = resendMilliseconds * (1 - closeDeliveryShare);
  const orderMilliseconds =
    endedMilliseconds - resendMilliseconds * lateEndShare - stopMilliseconds;
  const renewalMilliseconds =
    orderMilliseconds -
    stopMilliseconds -
    checksBeforeExpiry * leaseCheckInterval;
  const grantMilliseconds = Math.max(
    orderMilliseconds - usualEchoAge,
    orderMilliseconds * minimumGrantShare,
  );
  return {
    orderMilliseconds,
    grantMilliseconds,
    leaseMilliseconds,
    renewalMilliseconds,
    endedMilliseconds,
    heartbeatMilliseconds: Math.min(
      maximumHeartbeatInterval,
      renewalMilliseconds / heartbeatsPerRenewal,
    ),
    renewalWaitMilliseconds: Math.min(
      maximumRenewalWait,
      Math.floor(leaseMilliseconds / renewalsPerLease),
      chooseRenewalWait(grantMilliseconds),
    ),
  };
}

/** A lease outlasts the renewal that is lost after the one that granted it, where it is long enough for that. */
function chooseRenewalWait(grantMilliseconds: Milliseconds): Milliseconds {
  const certain = grantMilliseconds * certainLeaseShare;
  return Math.max(
    minimumRenewalWait,
    Math.floor((certain - lostRenewalMilliseconds) / 2),
  );
}

/** Validity of runs with the default bounds. */
export const defaultRunValidity: RunValidity = deriveRunValidity(
  defaultExecutionBounds,
);

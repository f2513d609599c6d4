/** Failure detection of a session: when heartbeats are due and when the peer counts as silent. */
import type { Milliseconds } from '@cranberryturn/types';

/** Timing parameters of a session. */
export interface SessionTimes {
  /** Heartbeat interval while the session is active. */
  readonly heartbeatMilliseconds: Milliseconds;
  /** Silence after which an active session is suspected. */
  readonly suspicionMilliseconds: Milliseconds;
  /** Maximum heartbeat interval while the session is idle; the active interval by default. */
  readonly idleHeartbeatMilliseconds?: Milliseconds | undefined;
}

/** Liveness state that a heartbeat reports about its sender. */
export enum LivenessState {
  Idle = 'idle',
  /** Work or messages are in flight, so frames are due at the active interval. */
  Active = 'active',
  /** The sender has not heard the receiver of this heartbeat for too long. */
  Suspecting = 'suspecting',
}

/** Liveness fields of a heartbeat. */
export interface LivenessReport {
  readonly state: LivenessState;
  /** Time until the next frame of the sender at the latest. */
  readonly nextMilliseconds: Milliseconds;
}

/** Defaults that keep the control traffic of a process within its budget. */
export const defaultSessionTimes: SessionTimes = {
  heartbeatMilliseconds: 1_000,
  suspicionMilliseconds: 3_000,
  idleHeartbeatMilliseconds: 5_000,
};

/** How long a session stays active after the last data frame. */
const activeAfterDataMilliseconds: Milliseconds = 10_000;
const idleIntervalFactor = 2;

/**
 * Liveness of one side of a session. Both sides use the active interval while
 * one of them is active. An idle side doubles its interval with each heartbeat
 * up to the idle maximum, and each heartbeat announces when the next one is due.
 */
export class SessionLiveness {
  readonly #times: SessionTimes;
  readonly #hasWork: () => boolean;
  #lastSentAt: Milliseconds;
  #lastReceivedAt: Milliseconds;
  #lastDataAt: Milliseconds;
  /** Undefined while this side is idle. */
  #activeSince: Milliseconds | undefined;
  #ownIntervalMilliseconds: Milliseconds;
  #isPeerActive = false;
  #peerIntervalMilliseconds: Milliseconds;

  constructor(times: SessionTimes, now: Milliseconds, hasWork: () => boolean) {
    this.#times = times;
    this.#hasWork = hasWork;
    this.#lastSentAt = now;
    this.#lastReceivedAt = now;
    this.#lastDataAt = now;
    this.#ownIntervalMilliseconds = times.heartbeatMilliseconds;
    this.#peerIntervalMilliseconds = times.heartbeatMilliseconds;
  }

  /** Records a new connection; frames of the peer are then due at the active interval. */
  recordConnection(now: Milliseconds): void {
    this.#lastReceivedAt = now;
    this.#lastDataAt = now;
    this.#peerIntervalMilliseconds = this.#times.heartbeatMilliseconds;
    this.#updateActivity(now);
  }

  recordDataSent(now: Milliseconds): void {
    this.#lastSentAt = now;
    this.#lastDataAt = now;
    this.#updateActivity(now);
  }

  recordDataReceived(now: Milliseconds): void {
    this.#lastReceivedAt = now;
    this.#lastDataAt = now;
    this.#isPeerActive = true;
    this.#peerIntervalMilliseconds = this.#times.heartbeatMilliseconds;
    this.#updateActivity(now);
  }

  recordHeartbeatReceived(now: Milliseconds, report: LivenessReport): void {
    this.#lastReceivedAt = now;
    this.#isPeerActive = report.state !== LivenessState.Idle;
    this.#peerIntervalMilliseconds = report.nextMilliseconds;
  }

  /** Returns whether nothing was sent for the current interval. */
  isHeartbeatDue(now: Milliseconds): boolean {
    this.#updateActivity(now);
    return now - this.#lastSentAt >= this.#ownIntervalMilliseconds;
  }

  /** Returns the fields of a heartbeat sent now, and chooses the next interval. */
  composeReport(now: Milliseconds): LivenessReport {
    this.#updateActivity(now);
    this.#lastSentAt = now;
    const active = this.#activeSince !== undefined;
    this.#ownIntervalMilliseconds = this.#chooseInterval(active);
    return {
      state: this.#determineState(now, active),
      nextMilliseconds: this.#ownIntervalMilliseconds,
    };
  }

  /**
   * Returns whether the last frame is old enough to justify the cost of a new
   * connection, before `isSilent` does.
   */
  isStale(now: Milliseconds): boolean {
    const { suspicionMilliseconds, heartbeatMilliseconds } = this.#times;
    const toleranceMilliseconds = suspicionMilliseconds - heartbeatMilliseconds;
    return now - this.#lastReceivedAt >= toleranceMilliseconds;
  }

  /**
   * Returns whether the peer is overdue: by the suspicion time while this side
   * is active, otherwise by the interval that the peer announced plus a tolerance.
   */
  isSilent(now: Milliseconds): boolean {
    const { suspicionMilliseconds, heartbeatMilliseconds } = this.#times;
    if (this.#activeSince !== undefined) {
      const since = Math.max(this.#lastReceivedAt, this.#activeSince);
      return now - since >= suspicionMilliseconds;
    }
    const slack = suspicionMilliseconds - heartbeatMilliseconds;
    const allowedMilliseconds = Math.max(
      suspicionMilliseconds,
      this.#peerIntervalMilliseconds + slack,
    );
    return now - this.#lastReceivedAt >= allowedMilliseconds;
  }

  #determineState(now: Milliseconds, active: boolean): LivenessState {
    if (this.isSilent(now)) return LivenessState.Suspecting;
    return active ? LivenessState.Active : LivenessState.Idle;
  }

  #updateActivity(now: Milliseconds): void {
    const isRecent = now - this.#lastDataAt < activeAfterDataMilliseconds;
    if (isRecent || this.#hasWork()) {
      this.#activeSince ??= now;
    } else {
      this.#activeSince = undefined;
    }
    if (this.#activeSince === undefined && !this.#isPeerActive) return;
    this.#ownIntervalMilliseconds = this.#times.heartbeatMilliseconds;
  }

  #chooseInterval(active: boolean): Milliseconds {
    const { heartbeatMilliseconds, idleHeartbeatMilliseconds } = this.#times;
    if (active || this.#isPeerActive) return heartbeatMilliseconds;
    const maximumIntervalMilliseconds = Math.max(
      heartbeatMilliseconds,
      idleHeartbeatMilliseconds ?? heartbeatMilliseconds,
    );
    return Math.min(
      this.#ownIntervalMilliseconds * idleIntervalFactor,
      maximumIntervalMilliseconds,
    );
  }
}

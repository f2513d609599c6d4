/** When to send the next heartbeat, and when silence of the peer is suspicious. */
import type { Milliseconds } from '@cranberryturn/types';

/** Times of a session. */
export interface SessionTimes {
  /** Longest time without sending a frame while the session is active. */
  readonly heartbeatMilliseconds: Milliseconds;
  /** Silence after which the connection of an active session is suspected. */
  readonly suspicionMilliseconds: Milliseconds;
  /** Longest time without sending a frame while the session is idle. */
  readonly idleHeartbeatMilliseconds?: Milliseconds | undefined;
}

/** How closely the sender of a heartbeat watches the session. */
export enum LivenessState {
  Idle = 'idle',
  /** Work or messages are in flight, so that frames are expected at the short interval. */
  Active = 'active',
  /** The receiver of the heartbeat was not heard for too long. */
  Suspecting = 'suspecting',
}

/** What a heartbeat tells of the liveness of its sender. */
export interface LivenessReport {
  readonly state: LivenessState;
  /** Time within which the sender sends its next frame. */
  readonly nextMilliseconds: Milliseconds;
}

/** Times that keep the control traffic of a process below its budget. */
export const defaultSessionTimes: SessionTimes = {
  heartbeatMilliseconds: 1_000,
  suspicionMilliseconds: 3_000,
  idleHeartbeatMilliseconds: 5_000,
};

const activeAfterDataMilliseconds: Milliseconds = 10_000;
const idleGrowth = 2;

/**
 * Liveness of one session at one end. Both ends send at the short interval
 * while one of them is active. An idle end doubles its interval with each
 * heartbeat, and each heartbeat says when the next one follows.
 */
export class SessionLiveness {
  readonly #times: SessionTimes;
  readonly #hasWork: () => boolean;
  #lastSent: Milliseconds;
  #lastReceived: Milliseconds;
  #lastData: Milliseconds;
  /** Undefined while this end is idle. */
  #activeSince: Milliseconds | undefined;
  #ownInterval: Milliseconds;
  #peerActive = false;
  #peerInterval: Milliseconds;

  constructor(times: SessionTimes, now: Milliseconds, hasWork: () => boolean) {
    this.#times = times;
    this.#hasWork = hasWork;
    this.#lastSent = now;
    this.#lastReceived = now;
    this.#lastData = now;
    this.#ownInterval = times.heartbeatMilliseconds;
    this.#peerInterval = times.heartbeatMilliseconds;
  }

  /** A fresh connection carries the session: the peer is expected at the short interval. */
  noteConnected(now: Milliseconds): void {
    this.#lastReceived = now;
    this.#lastData = now;
    this.#peerInterval = this.#times.heartbeatMilliseconds;
    this.#update(now);
  }

  noteDataSent(now: Milliseconds): void {
    this.#lastSent = now;
    this.#lastData = now;
    this.#update(now);
  }

  noteDataReceived(now: Milliseconds): void {
    this.#lastReceived = now;
    this.#lastData = now;
    this.#peerActive = true;
    this.#peerInterval = this.#times.heartbeatMilliseconds;
    this.#update(now);
  }

  noteHeartbeatReceived(now: Milliseconds, report: LivenessReport): void {
    this.#lastReceived = now;
    this.#peerActive = report.state !== LivenessState.Idle;
    this.#peerInterval = report.nextMilliseconds;
  }

  /** Whether a heartbeat must be sent now. */
  isHeartbeatDue(now: Milliseconds): boolean {
    this.#update(now);
    return now - this.#lastSent >= this.#ownInterval;
  }

  /** What to say in a heartbeat that is sent now. */
  reportHeartbeat(now: Milliseconds): LivenessReport {
    this.#update(now);
    this.#lastSent = now;
    const active = this.#activeSince !== undefined;
    this.#ownInterval = this.#chooseInterval(active);
    return {
      state: this.#describeState(now, active),
      nextMilliseconds: this.#ownInterval,
    };
  }

  /** Whether the last frame is so old that a fresh connection is worth its cost. */
  isStale(now: Milliseconds): boolean {
    const { suspicionMilliseconds, heartbeatMilliseconds } = this.#times;
    const slack = suspicionMilliseconds - heartbeatMilliseconds;
    return now - this.#lastReceived >= slack;
  }

  /** Whether the peer has been silent for longer than it may. */
  isSilent(now: Milliseconds): boolean {
    const { suspicionMilliseconds, heartbeatMilliseconds } = this.#times;
    if (this.#activeSince !== undefined) {
      const since = Math.max(this.#lastReceived, this.#activeSince);
      return now - since >= suspicionMilliseconds;
    }
    const slack = suspicionMilliseconds - heartbeatMilliseconds;
    const allowed = Math.max(suspicionMilliseconds, this.#peerInterval + slack);
    return now - this.#lastReceived >= allowed;
  }

  #describeState(now: Milliseconds, active: boolean): LivenessState {
    if (this.isSilent(now)) return LivenessState.Suspecting;
    return active ? LivenessState.Active : LivenessState.Idle;
  }

  #update(now: Milliseconds): void {
    const isRecent = now - this.#lastData < activeAfterDataMilliseconds;
    if (isRecent || this.#hasWork()) {
      this.#activeSince ??= now;
    } else {
      this.#activeSince = undefined;
    }
    if (this.#activeSince === undefined && !this.#peerActive) return;
    this.#ownInterval = this.#times.heartbeatMilliseconds;
  }

  #chooseInterval(active: boolean): Milliseconds {
    const { heartbeatMilliseconds, idleHeartbeatMilliseconds } = this.#times;
    if (active || this.#peerActive) return heartbeatMilliseconds;
    const longest = Math.max(
      heartbeatMilliseconds,
      idleHeartbeatMilliseconds ?? heartbeatMilliseconds,
    );
    return Math.min(this.#ownInterval * idleGrowth, longest);
  }
}

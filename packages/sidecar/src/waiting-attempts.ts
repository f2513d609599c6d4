/** Queue of attempts that wait for a slot, ordered by latest start time. */
import type {
  AttemptKey,
  AttemptStart,
  DispatcherId,
  Milliseconds,
} from '@cranberryturn/types';

import { isSameAttempt } from './attempt-keys.js';

/** A queued attempt. */
export interface WaitingAttempt {
  readonly attempt: AttemptStart;
  readonly received: Milliseconds;
  /** Arrival plus slack; a negative slack orders the attempt before its arrival. */
  readonly latestStartAt: Milliseconds;
  readonly requestId: string | undefined;
}

/** The queue of one target, shared by all dispatchers. The queue limit is enforced by the caller. */
export class WaitingAttempts {
  readonly #waiting: WaitingAttempt[] = [];

  get size(): number {
    return this.#waiting.length;
  }

  /** Inserts the attempt by latest start time; equal times keep the order of arrival. */
  add(
    attempt: AttemptStart,
    received: Milliseconds,
    requestId: string | undefined,
  ): void {
    const latestStartAt = received + (attempt.slackMilliseconds ?? 0);
    const later = this.#waiting.findIndex(
      queued => queued.latestStartAt > latestStartAt,
    );
    const position = later < 0 ? this.#waiting.length : later;
    const waiting = { attempt, received, latestStartAt, requestId };
    this.#waiting.splice(position, 0, waiting);
  }

  takeNext(): WaitingAttempt | undefined {
    return this.#waiting.shift();
  }

  takeAll(): readonly WaitingAttempt[] {
    return this.#waiting.splice(0);
  }

  /** Removes one attempt from the queue; undefined if it is not queued. */
  take(key: AttemptKey): WaitingAttempt | undefined {
    const position = this.#waiting.findIndex(queued =>
      isSameAttempt(queued.attempt, key),
    );
    if (position < 0) return undefined;
    return this.#waiting.splice(position, 1)[0];
  }

  hasAttemptOf(dispatcher: DispatcherId): boolean {
    return this.#waiting.some(
      queued => queued.attempt.dispatcher === dispatcher,
    );
  }
}

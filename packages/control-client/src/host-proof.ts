/** What one connection to a control host has proved, and whether the host still answers. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type {
  ControlNotice,
  ControlNoticeKind,
  RemoteCalls,
} from '@cranberryturn/wire';

export type FreshnessNotice = Extract<
  ControlNotice,
  { readonly kind: ControlNoticeKind.Freshness }
>;

/**
 * A host states the age of its proof when it sends it. How long the notice was on its way is unknown, so the proof
 * counts from the moment at which this process sent the call that the host had received by then.
 */
export class HostProof {
  /** Until when the state that the host has sent is known to be complete; undefined before the first proof. */
  provedAt: Milliseconds | undefined;
  freshness: FreshnessNotice | undefined;
  /** Set when this process closes the connection, which ends a moment later. */
  isClosed = false;
  /** When the host was last asked. */
  askedAt: Milliseconds = -Infinity;
  readonly #calls: RemoteCalls;
  readonly #timers: TimerService;
  /** When the latest call that has been answered was sent. */
  #answeredAt: Milliseconds | undefined;
  /** Since when a call has waited without any frame from the host. */
  #waitingSince: Milliseconds | undefined;

  constructor(calls: RemoteCalls, timers: TimerService) {
    this.#calls = calls;
    this.#timers = timers;
  }

  recordCall(): void {
    this.askedAt = this.#timers.now();
    if (!this.#isWaiting()) this.#waitingSince = this.askedAt;
  }

  /** Records the answer to a call that was sent at `sentAt`; the notice of the proof precedes it. */
  recordAnswer(sentAt: Milliseconds): void {
    this.#answeredAt = Math.max(this.#answeredAt ?? sentAt, sentAt);
    this.#prove();
  }

  recordFreshness(notice: FreshnessNotice): void {
    this.freshness = notice;
    this.#prove();
  }

  /** Whether a call has waited for this long without any frame from the host. */
  isSilentFor(limit: Milliseconds): boolean {
    if (!this.#isWaiting()) return false;
    return this.#timers.now() - (this.#waitingSince ?? Infinity) > limit;
  }

  /** Forgets the proof: the time for which the clock of this process stood still is unknown. */
  discard(): void {
    this.provedAt = undefined;
    this.#answeredAt = undefined;
  }

  #isWaiting(): boolean {
    return (
      this.#waitingSince !== undefined &&
      this.#calls.lastReceived() <= this.#waitingSince
    );
  }

  #prove(): void {
    if (this.#answeredAt === undefined || this.freshness === undefined) return;
    const provedAt = this.#answeredAt - this.freshness.proofAgeMilliseconds;
    this.provedAt = Math.max(this.provedAt ?? provedAt, provedAt);
  }
}

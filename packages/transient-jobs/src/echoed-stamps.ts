/**
 * Decides which stamps of sidecars a dispatcher echoes. A sidecar counts from the echo how long it may start and execute
 * runs for the dispatcher. A stamp is therefore echoed only once all connections that callers had closed before it arrived
 * have been read: a dispatcher that was paused or is behind has no right to start tasks for callers who have gone.
 */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Minimum time between two rounds, each of which costs some turns of the event loop. */
const minimumIntervalMilliseconds: Milliseconds = 20;

/** Echoed before the first stamp has arrived. Messages carry finite numbers only. */
const noStamp: Milliseconds = -Number.MAX_SAFE_INTEGER;

/** The stamps of one sidecar. */
export interface SidecarStamps {
  /** Newest stamp received. */
  stamp: Milliseconds;
  /** When it was received. */
  stampReceivedAt: Milliseconds;
  /** Newest stamp that may be echoed, and when it was received. */
  echo: Milliseconds;
  echoReceivedAt: Milliseconds;
}

/** Dependencies of the stamps to echo. */
export interface EchoedStampsOptions<Stamps> {
  readonly timers: TimerService;
  /** Called for each sidecar whose echo has advanced. */
  readonly advanced: (stamps: Stamps) => void;
}

/** Creates the state before the first stamp. */
export function createSidecarStamps(): SidecarStamps {
  return {
    stamp: noStamp,
    stampReceivedAt: -Infinity,
    echo: noStamp,
    echoReceivedAt: -Infinity,
  };
}

/** The stamps received from all sidecars. */
export class EchoedStamps<Stamps extends SidecarStamps> {
  readonly #options: EchoedStampsOptions<Stamps>;
  /** Sidecars with stamps that may not be echoed yet. */
  #pending = new Set<Stamps>();
  #round: TimerSubscription | undefined;
  #roundEndedAt: Milliseconds = -Infinity;

  constructor(options: EchoedStampsOptions<Stamps>) {
    this.#options = options;
  }

  /** Records a stamp that has just arrived. */
  receive(stamps: Stamps, stamp: Milliseconds): void {
    if (stamp <= stamps.stamp) return;
    stamps.stamp = stamp;
    stamps.stampReceivedAt = this.#options.timers.now();
    this.#pending.add(stamps);
    this.#scheduleRound();
  }

  close(): void {
    this.#round?.cancel();
    this.#pending.clear();
  }

  #scheduleRound(): void {
    if (this.#round !== undefined || this.#pending.size === 0) return;
    const { timers } = this.#options;
    const delay =
      this.#roundEndedAt + minimumIntervalMilliseconds - timers.now();
    if (delay <= 0) this.#beginRound();
    else
      this.#round = timers.after(delay, () => {
        this.#beginRound();
      });
  }

  #beginRound(): void {
    const { timers } = this.#options;
    const received = [...this.#pending].map(stamps => ({
      stamps,
      echo: stamps.stamp,
      echoReceivedAt: stamps.stampReceivedAt,
    }));
    this.#pending.clear();
    this.#round = timers.afterPendingEvents(() => {
      this.#round = undefined;
      this.#roundEndedAt = timers.now();
      for (const { stamps, echo, echoReceivedAt } of received) {
        stamps.echo = echo;
        stamps.echoReceivedAt = echoReceivedAt;
        this.#options.advanced(stamps);
      }
      this.#scheduleRound();
    });
  }
}

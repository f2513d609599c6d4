/** Estimates the clock of a worker, and detects suspensions of this process. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Maximum relative drift by which the clock of a worker is slow. */
const maximumDrift = 0.02;
/** Minimum suspension that is detected; a reply to a busy process may stay unread for nearly this long. */
const minimumSuspensionMilliseconds: Milliseconds = 250;
/** Workers report whole milliseconds. */
const clockResolutionMilliseconds: Milliseconds = 1;
/** Differences below this say nothing about the incarnation of the worker, as clocks drift and replies are delayed. */
const clockToleranceMilliseconds: Milliseconds = 100;
/** Readings older than this are not kept, but for the newest of them. */
const readingRetentionMilliseconds: Milliseconds = 2_000;
/** A reading soon after another is kept only if it shows the clock to be ahead by more than this. */
const readingIntervalMilliseconds: Milliseconds = 50;
const minimumGainMilliseconds: Milliseconds = 5;

/** The clock of the worker showed at least `clock` at `readAt` on the clock of this process. */
interface ClockReading {
  readonly clock: Milliseconds;
  readonly readAt: Milliseconds;
}

/** The clock of one incarnation of a worker, read from its replies and reports. */
export class WorkerClock {
  readonly #timers: TimerService;
  /** In the order of their times. */
  #readings: ClockReading[] = [];
  /** The newest reading in a reply. */
  #lastReply: ClockReading | undefined;
  /**
   * Upper bound of the clock less that of this process: the worker read its clock after the order was sent, and its clock
   * is never fast.
   */
  #maximumLead: Milliseconds = -Infinity;

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /**
   * Records the clock in a report, which may have been delayed. A report can be of another writer: one that is ahead of
   * what the replies of the worker allow would make orders valid for too long, and does not count.
   */
  recordReport(clock: Milliseconds): void {
    const lead = clock - this.#timers.now();
    if (lead <= this.#maximumLead + clockResolutionMilliseconds)
      this.#record(clock);
  }

  /**
   * Whether a reply to an order sent at `sentAt` cannot be of this incarnation: its clock is behind what earlier readings
   * show. A later incarnation starts a new clock.
   */
  isOfOtherIncarnation(clock: Milliseconds, sentAt: Milliseconds): boolean {
    return this.#readings.some(
      reading =>
        reading.readAt <= sentAt &&
        clock <
          reading.clock +
            (sentAt - reading.readAt) * (1 - maximumDrift) -
            clockToleranceMilliseconds,
    );
  }

  #record(clock: Milliseconds): void {
    const readAt = this.#timers.now();
    const last = this.#readings.at(-1);
    if (last !== undefined && isRedundant({ clock, readAt }, last)) return;
    const oldest = readAt - readingRetentionMilliseconds;
    const firstKept = this.#readings.findLastIndex(
      reading => reading.readAt <= oldest,
    );
    if (firstKept > 0) this.#readings.splice(0, firstKept);
    this.#readings.push({ clock, readAt });
  }

  /**
   * Records the clock in the reply to an order sent at `sentAt`. True when the clock of the worker has
   * advanced far more than the clock of this process, which must have been suspended.
   */
  observe(clock: Milliseconds, sentAt: Milliseconds): boolean {
    const now = this.#timers.now();
    this.#record(clock);
    // A suspension of this process, whose clock stands still meanwhile, makes earlier bounds void.
    const isVoid = clock - now > this.#maximumLead;
    this.#maximumLead = isVoid
      ? clock - sentAt
      : Math.min(this.#maximumLead, clock - sentAt);
    const previous = this.#lastReply;
    if (previous !== undefined && clock < previous.clock) return false;
    this.#lastReply = { clock, readAt: now };
    if (previous === undefined) return false;
    const roundTripMilliseconds = now - sentAt;
    return (
      clock - previous.clock >
      now -
        previous.readAt +
        roundTripMilliseconds +
        minimumSuspensionMilliseconds
    );
  }

  /**
   * Time on the clock of the worker that is reached at most `duration` after `stamp`, a time of this process. Only
   * readings from before the stamp count: had this process been suspended between the stamp and a reading, its clock
   * would place the reading too early. Undefined without such a reading.
   */
  computeDeadline(
    stamp: Milliseconds,
    duration: Milliseconds,
  ): Milliseconds | undefined {
    let latest: Milliseconds | undefined;
    for (const { clock, readAt } of this.#readings) {
      if (readAt > stamp) break;
      const deadline = clock + (stamp - readAt + duration) * (1 - maximumDrift);
      latest = Math.max(latest ?? deadline, deadline);
    }
    return latest;
  }
}

function isRedundant(reading: ClockReading, last: ClockReading): boolean {
  const elapsed = reading.readAt - last.readAt;
  const gain = reading.clock - last.clock - elapsed;
  return (
    elapsed < readingIntervalMilliseconds && gain <= minimumGainMilliseconds
  );
}

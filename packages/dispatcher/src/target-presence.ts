/** Which registered runs of sidecars this dispatcher hears, for the lease that control keeps of them. */
import { composeTargetKey } from '@cranberryturn/membership';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  Roster,
  TargetIdentity,
} from '@cranberryturn/types';
import { runLease } from '@cranberryturn/wire';

/** Runs that are heard, and since when the others are not. */
export class TargetPresence {
  readonly #timers: TimerService;
  readonly #reachable = new Set<string>();
  #unreachableSince = new Map<string, Milliseconds>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** The run has a session over a connection that is not suspected. */
  markReachable(run: TargetIdentity): void {
    this.#reachable.add(composeTargetKey(run));
  }

  markUnreachable(run: TargetIdentity): void {
    this.#reachable.delete(composeTargetKey(run));
  }

  isReachable(run: TargetIdentity): boolean {
    return this.#reachable.has(composeTargetKey(run));
  }

  /** Runs of the roster that were not heard for their lease. To be called at least once in a lease. */
  listSilent(roster: Roster): readonly TargetIdentity[] {
    const now = this.#timers.now();
    const unreachableSince = new Map<string, Milliseconds>();
    const silent: TargetIdentity[] = [];
    for (const { targetId, incarnation } of roster.targets) {
      const key = composeTargetKey({ targetId, incarnation });
      if (this.#reachable.has(key)) continue;
      const since = this.#unreachableSince.get(key) ?? now;
      unreachableSince.set(key, since);
      if (now - since >= runLease) silent.push({ targetId, incarnation });
    }
    this.#unreachableSince = unreachableSince;
    return silent;
  }
}

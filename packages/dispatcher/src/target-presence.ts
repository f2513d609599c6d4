/** Tracks which registered sidecar runs are reachable, for the leases that control keeps. */
import { composeTargetKey } from '@cranberryturn/membership';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  Roster,
  TargetIdentity,
} from '@cranberryturn/types';
import { registrationLease } from '@cranberryturn/wire';

/** Reachable sidecar runs, and the time since which each other run is unreachable. */
export class TargetPresence {
  readonly #timers: TimerService;
  readonly #reachable = new Set<string>();
  #unreachableSince = new Map<string, Milliseconds>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Records that the run has a session over a responsive connection. */
  markReachable(run: TargetIdentity): void {
    this.#reachable.add(composeTargetKey(run));
  }

  markUnreachable(run: TargetIdentity): void {
    this.#reachable.delete(composeTargetKey(run));
  }

  isReachable(run: TargetIdentity): boolean {
    return this.#reachable.has(composeTargetKey(run));
  }

  /**
   * Lists the runs of the roster that were unreachable for a full lease. A run counts as
   * unreachable from the first call that finds no session, so call at least once per lease.
   */
  listSilent(roster: Roster): readonly TargetIdentity[] {
    const now = this.#timers.now();
    const unreachableSince = new Map<string, Milliseconds>();
    const silent: TargetIdentity[] = [];
    for (const { targetId, incarnation } of roster.targets) {
      const key = composeTargetKey({ targetId, incarnation });
      if (this.#reachable.has(key)) continue;
      const since = this.#unreachableSince.get(key) ?? now;
      unreachableSince.set(key, since);
      if (now - since >= registrationLease)
        silent.push({ targetId, incarnation });
    }
    this.#unreachableSince = unreachableSince;
    return silent;
  }
}

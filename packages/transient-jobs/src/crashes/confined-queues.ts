/** The queues of one service that are confined to a part of its hosts after crashes. */
import type { Milliseconds, QueueName } from '@cranberryturn/types';

import { drawFromHash } from '../scarcity/hash-draw.js';
import {
  type BlamedQueue,
  blameQueues,
  hasActiveRuns,
} from './blame-queues.js';
import type { RecordedCrash } from './crash-ledger.js';

/** A queue stays confined for this long after the last crash at which it had active runs: workers need seconds to restart. */
const holdMilliseconds: Milliseconds = 5_000;
/** Crashes without a confined queue that clear it. */
const clearingCrashes = 3;
/** A cleared queue is not blamed again for this long. */
const clearedMilliseconds: Milliseconds = 3_000;
/** Leaves the other queues enough for the usual load, and bounds the workers that are down at once. */
const hostShare = 0.3;

/** A change of the confined queues. */
export type ConfinementChange =
  | { readonly isConfined: true; readonly blamed: BlamedQueue }
  | {
      readonly isConfined: false;
      readonly queue: QueueName;
      /** Whether crashes without the queue have cleared it. */
      readonly isCleared: boolean;
    };

interface Confinement {
  readonly since: Milliseconds;
  /** The last crash at which the queue had active runs. */
  lastCrashAt: Milliseconds;
}

/** The confined queues of one service. */
export class ConfinedQueues {
  readonly #confined = new Map<QueueName, Confinement>();
  readonly #clearedAt = new Map<QueueName, Milliseconds>();

  isConfined(queue: QueueName): boolean {
    return this.#confined.has(queue);
  }

  list(): readonly QueueName[] {
    return [...this.#confined.keys()];
  }

  /** Applies the recent crashes of the service, and returns what has changed. `hosts` serve it. */
  update(
    crashes: readonly RecordedCrash[],
    hosts: readonly string[],
    now: Milliseconds,
  ): readonly ConfinementChange[] {
    const changes: ConfinementChange[] = [];
    for (const [queue, confinement] of this.#confined) {
      confinement.lastCrashAt = findLastCrash(crashes, queue);
      const others = this.list().filter(other => other !== queue);
      const later = crashes.filter(
        recorded =>
          recorded.at > confinement.since &&
          !others.some(other => hasActiveRuns(recorded, other)),
      );
      const isCleared = isClearedBy(
        later,
        queue,
        chooseConfinedHosts(queue, hosts),
      );
      const isHeld = now - confinement.lastCrashAt < holdMilliseconds;
      if (isHeld && !isCleared) continue;
      if (isCleared) this.#clearedAt.set(queue, now);
      this.#confined.delete(queue);
      changes.push({ isConfined: false, queue, isCleared });
    }
    for (const [queue, clearedAt] of this.#clearedAt) {
      if (now - clearedAt >= clearedMilliseconds) this.#clearedAt.delete(queue);
    }
    const judged = {
      confined: new Set(this.#confined.keys()),
      cleared: new Set(this.#clearedAt.keys()),
    };
    for (const blamed of blameQueues(crashes, judged, now)) {
      const lastCrashAt = findLastCrash(crashes, blamed.queue);
      if (now - lastCrashAt >= holdMilliseconds) continue;
      this.#confined.set(blamed.queue, { since: now, lastCrashAt });
      changes.push({ isConfined: true, blamed });
    }
    return changes;
  }
}

/** The confined queues as a dispatcher would know them that had received each crash when it happened. */
export function replayCrashes(
  crashes: readonly RecordedCrash[],
  hosts: readonly string[],
): ConfinedQueues {
  const queues = new ConfinedQueues();
  const ordered = crashes.toSorted((left, right) => left.at - right.at);
  ordered.forEach(({ at }, index) => {
    queues.update(ordered.slice(0, index + 1), hosts, at);
  });
  return queues;
}

function findLastCrash(
  crashes: readonly RecordedCrash[],
  queue: QueueName,
): Milliseconds {
  const presentAt = crashes
    .filter(recorded => hasActiveRuns(recorded, queue))
    .map(({ at }) => at);
  return Math.max(Number.NEGATIVE_INFINITY, ...presentAt);
}

/**
 * Whether workers went on crashing without a confined queue, and none crashed at its hosts with no other queue.
 * `crashes` are those since then that no other confined queue explains.
 */
function isClearedBy(
  crashes: readonly RecordedCrash[],
  queue: QueueName,
  hosts: ReadonlySet<string>,
): boolean {
  const without = crashes.filter(recorded => !hasActiveRuns(recorded, queue));
  const isConfirmed = crashes.some(
    ({ crash, host }) =>
      hosts.has(host) && crash.runs.every(run => run.queue === queue),
  );
  return without.length >= clearingCrashes && !isConfirmed;
}

/** Chooses the hosts of a confined queue: the same at each dispatcher that knows the same hosts. */
export function chooseConfinedHosts(
  queue: QueueName,
  hosts: readonly string[],
): ReadonlySet<string> {
  const ranked = hosts
    .map(host => ({ host, draw: drawFromHash(`${queue}/${host}`) }))
    .sort((left, right) => left.draw - right.draw);
  const count = Math.ceil(hosts.length * hostShare);
  return new Set(ranked.slice(0, count).map(({ host }) => host));
}

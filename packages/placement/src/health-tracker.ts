/** Ejects, probes and readmits the targets of one service, judged by the outcomes of their tasks. */
import type { Milliseconds } from '@cranberryturn/types';

import {
  HealthPhase,
  type TargetEntry,
  type TargetHealth,
} from './target-entry.js';

/** Hears of each change of health. */
export type HealthListener = (
  entry: TargetEntry,
  action: HealthPhase,
  reason: string,
) => void;

/** Largest share of a service's targets that is ejected at the same time. */
export const largestEjectedShare = 0.3;

const shortestEjectionMilliseconds: Milliseconds = 1_000;
const longestEjectionMilliseconds: Milliseconds = 60_000;
const ejectionMemoryMilliseconds: Milliseconds = 60_000;
const repeatableProbeMilliseconds: Milliseconds = 1_000;
const fewestFailuresInARow = 3;
const mostFailuresInARow = 12;
const acceptedFalseEjections = 0.001;
const newestFailureWeight = 0.1;
const newestSlownessWeight = 0.25;
const fewestOutcomes = 10;
const fewestSlowOutcomes = 4;
const ejectedFailureShare = 0.4;
const ejectedSlowness = 4;

/** Watches the targets of one service. */
export class HealthTracker {
  readonly #listener: HealthListener;
  readonly #ejected = new Set<TargetEntry>();
  readonly #probed = new Set<TargetEntry>();
  #failureShares = 0;
  #targets = 0;

  constructor(listener: HealthListener) {
    this.#listener = listener;
  }

  get ejected(): number {
    return this.#ejected.size;
  }

  add(): void {
    this.#targets += 1;
  }

  remove(entry: TargetEntry): void {
    this.#targets -= 1;
    this.#failureShares -= entry.health.failureShare;
    this.#ejected.delete(entry);
    this.#probed.delete(entry);
  }

  /** Takes in a task that was answered; `slowness` is its run time relative to the expected one. */
  recordSuccess(entry: TargetEntry, slowness: number, now: Milliseconds): void {
    const { health } = entry;
    this.#learnFailure(entry, 0);
    learnSlowness(health, slowness);
    if (this.#isSlow(entry)) {
      this.#eject(entry, now, describeSlowness(health.slowness));
      return;
    }
    health.consecutiveFailures = 0;
    this.#raiseAllowance(entry, now);
  }

  /** Takes in a task that the target failed. */
  recordFailure(entry: TargetEntry, now: Milliseconds): void {
    const { health } = entry;
    this.#learnFailure(entry, 1);
    health.consecutiveFailures += 1;
    const reason = `${String(health.consecutiveFailures)} failures in a row, ${health.failureShare.toFixed(2)} of its recent tasks`;
    if (this.#failsTooOften(entry)) {
      this.#eject(entry, now, reason);
      return;
    }
    this.#doubt(entry, now, reason);
  }

  /** Takes in a running task that takes far longer than expected. */
  recordStraggler(
    entry: TargetEntry,
    slowness: number,
    now: Milliseconds,
  ): void {
    const { health } = entry;
    health.outcomes += 1;
    learnSlowness(health, slowness);
    if (this.#isSlow(entry))
      this.#eject(entry, now, describeSlowness(health.slowness));
  }

  /** Lets targets whose ejection has ended take one task; returns them. */
  beginProbes(now: Milliseconds): readonly TargetEntry[] {
    if (this.#ejected.size === 0) return [];
    const due = [...this.#ejected].filter(
      entry => entry.health.ejectedUntil <= now,
    );
    for (const entry of due) {
      this.#ejected.delete(entry);
      entry.health.allowance = 1;
      entry.health.probedByAnyTask = false;
      this.#change(entry, HealthPhase.Probed, now, 'the ejection ended');
    }
    return due;
  }

  /** Lets any task probe a target for which no repeatable task came in time. */
  openOldProbes(now: Milliseconds): void {
    for (const { health } of this.#probed) {
      if (now - health.changedAt >= repeatableProbeMilliseconds)
        health.probedByAnyTask = true;
    }
  }

  #learnFailure(entry: TargetEntry, outcome: 0 | 1): void {
    const { health } = entry;
    const before = health.failureShare;
    health.outcomes += 1;
    health.failureShare += (outcome - before) * newestFailureWeight;
    this.#failureShares += health.failureShare - before;
  }

  #isSlow({ health }: TargetEntry): boolean {
    if (health.phase === HealthPhase.Probed)
      return health.slowness > ejectedSlowness;
    return (
      health.outcomes >= fewestSlowOutcomes && health.slowness > ejectedSlowness
    );
  }

  #failsTooOften(entry: TargetEntry): boolean {
    const { health } = entry;
    if (health.phase === HealthPhase.Probed) return true;
    if (health.phase === HealthPhase.Returning) return true;
    const others = this.#failureShareOfOthers(entry);
    if (health.consecutiveFailures >= failuresThatEject(others)) return true;
    return (
      health.outcomes >= fewestOutcomes &&
      health.failureShare > ejectedFailureShare + others
    );
  }

  #failureShareOfOthers(entry: TargetEntry): number {
    if (this.#targets < 2) return 0;
    const sum = this.#failureShares - entry.health.failureShare;
    return Math.max(0, sum / (this.#targets - 1));
  }

  #eject(entry: TargetEntry, now: Milliseconds, reason: string): void {
    const { health } = entry;
    if (health.phase === HealthPhase.Ejected) return;
    if (this.#ejected.size + 1 > this.#mostEjected()) {
      this.#doubt(entry, now, `${reason}; too many targets are ejected`);
      return;
    }
    this.#forgetOldEjections(entry, now);
    health.ejectedUntil = now + ejectionDuration(health.ejections);
    health.ejections += 1;
    health.allowance = 0;
    health.slowness = 1;
    this.#ejected.add(entry);
    this.#change(entry, HealthPhase.Ejected, now, reason);
  }

  #mostEjected(): number {
    if (this.#targets < 2) return 0;
    return Math.max(1, Math.floor(this.#targets * largestEjectedShare));
  }

  #doubt(entry: TargetEntry, now: Milliseconds, reason: string): void {
    const { health } = entry;
    const halvings = Math.min(health.consecutiveFailures, 16);
    health.allowance = Math.max(1, entry.slots >> halvings);
    if (health.phase === HealthPhase.Doubted) return;
    this.#change(entry, HealthPhase.Doubted, now, reason);
  }

  #raiseAllowance(entry: TargetEntry, now: Milliseconds): void {
    const { health } = entry;
    if (health.phase === HealthPhase.Healthy) return;
    if (health.phase === HealthPhase.Ejected) return;
    health.allowance += 1;
    if (health.allowance >= entry.slots) {
      health.allowance = Number.MAX_SAFE_INTEGER;
      this.#change(entry, HealthPhase.Healthy, now, 'its tasks succeed');
      return;
    }
    if (health.phase !== HealthPhase.Probed) return;
    this.#change(entry, HealthPhase.Returning, now, 'the probe succeeded');
  }

  #forgetOldEjections({ health }: TargetEntry, now: Milliseconds): void {
    if (health.phase !== HealthPhase.Healthy) return;
    const healthyFor = now - health.changedAt;
    const forgotten = Math.floor(healthyFor / ejectionMemoryMilliseconds);
    health.ejections = Math.max(0, health.ejections - forgotten);
  }

  #change(
    entry: TargetEntry,
    phase: HealthPhase,
    now: Milliseconds,
    reason: string,
  ): void {
    if (phase === HealthPhase.Probed) this.#probed.add(entry);
    else this.#probed.delete(entry);
    entry.health.phase = phase;
    entry.health.changedAt = now;
    this.#listener(entry, phase, reason);
  }
}

/** Failures in a row that are unlikely to be chance when targets fail `share` of their tasks. */
export function failuresThatEject(share: number): number {
  if (share <= 0) return fewestFailuresInARow;
  if (share >= 1) return mostFailuresInARow;
  const needed = Math.ceil(Math.log(acceptedFalseEjections) / Math.log(share));
  return Math.min(Math.max(needed, fewestFailuresInARow), mostFailuresInARow);
}

function ejectionDuration(earlierEjections: number): Milliseconds {
  const doubled = shortestEjectionMilliseconds * 2 ** earlierEjections;
  return Math.min(doubled, longestEjectionMilliseconds);
}

/** A probe is judged by itself; otherwise about four tasks count. */
function learnSlowness(health: TargetHealth, slowness: number): void {
  const probed = health.phase === HealthPhase.Probed;
  const weight = probed ? 1 : newestSlownessWeight;
  health.slowness += (slowness - health.slowness) * weight;
}

function describeSlowness(slowness: number): string {
  return `its tasks take ${slowness.toFixed(1)} times the usual run time`;
}

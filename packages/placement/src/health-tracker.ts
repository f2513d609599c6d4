/** Outlier detection: ejects, probes and readmits the targets of one service by the outcomes of their tasks. */
import type { Milliseconds } from '@cranberryturn/types';

import {
  HealthPhase,
  type TargetEntry,
  type TargetHealth,
} from './target-entry.js';

/** Called with each change of phase, for decision lines. */
export type HealthListener = (
  entry: TargetEntry,
  action: HealthPhase,
  reason: string,
) => void;

/** Maximum fraction of a service's targets that are ejected at the same time. */
export const maximumEjectedFraction = 0.3;

const minimumEjectionMilliseconds: Milliseconds = 1_000;
const maximumEjectionMilliseconds: Milliseconds = 60_000;
/** Healthy time after which one earlier ejection no longer lengthens the next. */
const ejectionDecayMilliseconds: Milliseconds = 60_000;
/** Time for which a probe is reserved for tasks that may run more than once. */
const repeatableProbeWaitMilliseconds: Milliseconds = 1_000;
const minimumConsecutiveFailures = 3;
const maximumConsecutiveFailures = 12;
/** Accepted probability that consecutive failures which eject a target are chance. */
const falseEjectionProbability = 0.001;
const newestFailureWeight = 0.1;
const newestSlowdownWeight = 0.25;
/** Outcomes needed before the failure rate may eject a target. */
const minimumFailureOutcomes = 10;
/** Outcomes needed before the slowdown may eject a target. */
const minimumSlowdownOutcomes = 4;
/** Excess of the failure rate over the rate of the other targets that ejects a target. */
const ejectionFailureRate = 0.4;
/** Multiple of the expected run time that ejects a target. */
const ejectionSlowdown = 4;

/** Health of the targets of one service. The caller updates the index after each call. */
export class HealthTracker {
  readonly #listener: HealthListener;
  readonly #ejected = new Set<TargetEntry>();
  readonly #probing = new Set<TargetEntry>();
  #failureRateSum = 0;
  #targetCount = 0;

  constructor(listener: HealthListener) {
    this.#listener = listener;
  }

  get ejectedCount(): number {
    return this.#ejected.size;
  }

  addTarget(): void {
    this.#targetCount += 1;
  }

  removeTarget(entry: TargetEntry): void {
    this.#targetCount -= 1;
    this.#failureRateSum -= entry.health.failureRate;
    this.#ejected.delete(entry);
    this.#probing.delete(entry);
  }

  /** Records an answered task; `slowdown` is its run time as a multiple of the expected one. */
  recordSuccess(entry: TargetEntry, slowdown: number, now: Milliseconds): void {
    const { health } = entry;
    this.#recordOutcome(entry, 0);
    updateSlowdown(health, slowdown);
    if (this.#isSlow(entry)) {
      this.#eject(entry, now, describeSlowdown(health.slowdown));
      return;
    }
    health.consecutiveFailures = 0;
    this.#raiseMaximumAttempts(entry, now);
  }

  /** Records a task that the target failed. */
  recordFailure(entry: TargetEntry, now: Milliseconds): void {
    const { health } = entry;
    this.#recordOutcome(entry, 1);
    health.consecutiveFailures += 1;
    const reason = `${String(health.consecutiveFailures)} failures in a row, ${health.failureRate.toFixed(2)} of its recent tasks`;
    if (this.#isFailingTooOften(entry)) {
      this.#eject(entry, now, reason);
      return;
    }
    this.#degrade(entry, now, reason);
  }

  /** Records a task that still runs long after its expected end. */
  recordStraggler(
    entry: TargetEntry,
    slowdown: number,
    now: Milliseconds,
  ): void {
    const { health } = entry;
    health.outcomeCount += 1;
    updateSlowdown(health, slowdown);
    if (this.#isSlow(entry))
      this.#eject(entry, now, describeSlowdown(health.slowdown));
  }

  /** Starts the probes of targets whose ejection has ended, and returns these targets. */
  beginProbes(now: Milliseconds): readonly TargetEntry[] {
    if (this.#ejected.size === 0) return [];
    const dueTargets = [...this.#ejected].filter(
      entry => entry.health.ejectedUntil <= now,
    );
    for (const entry of dueTargets) {
      this.#ejected.delete(entry);
      entry.health.maximumAttempts = 1;
      entry.health.canProbeWithAnyTask = false;
      this.#changePhase(entry, HealthPhase.Probing, now, 'the ejection ended');
    }
    return dueTargets;
  }

  /** Allows any task as a probe where no repeatable task came in time. */
  allowAnyTaskToProbe(now: Milliseconds): void {
    for (const { health } of this.#probing) {
      if (now - health.changedAt >= repeatableProbeWaitMilliseconds)
        health.canProbeWithAnyTask = true;
    }
  }

  #recordOutcome(entry: TargetEntry, failure: 0 | 1): void {
    const { health } = entry;
    const previousRate = health.failureRate;
    health.outcomeCount += 1;
    health.failureRate += (failure - previousRate) * newestFailureWeight;
    this.#failureRateSum += health.failureRate - previousRate;
  }

  #isSlow({ health }: TargetEntry): boolean {
    if (health.phase === HealthPhase.Probing)
      return health.slowdown > ejectionSlowdown;
    return (
      health.outcomeCount >= minimumSlowdownOutcomes &&
      health.slowdown > ejectionSlowdown
    );
  }

  #isFailingTooOften(entry: TargetEntry): boolean {
    const { health } = entry;
    if (health.phase === HealthPhase.Probing) return true;
    if (health.phase === HealthPhase.Recovering) return true;
    const failureRateOfOthers = this.#computeFailureRateOfOthers(entry);
    if (
      health.consecutiveFailures >=
      computeEjectionThreshold(failureRateOfOthers)
    )
      return true;
    return (
      health.outcomeCount >= minimumFailureOutcomes &&
      health.failureRate > ejectionFailureRate + failureRateOfOthers
    );
  }

  #computeFailureRateOfOthers(entry: TargetEntry): number {
    if (this.#targetCount < 2) return 0;
    const sum = this.#failureRateSum - entry.health.failureRate;
    return Math.max(0, sum / (this.#targetCount - 1));
  }

  #eject(entry: TargetEntry, now: Milliseconds, reason: string): void {
    const { health } = entry;
    if (health.phase === HealthPhase.Ejected) return;
    if (this.#ejected.size + 1 > this.#computeMaximumEjected()) {
      this.#degrade(entry, now, `${reason}; too many targets are ejected`);
      return;
    }
    this.#decayEjections(entry, now);
    health.ejectedUntil = now + computeEjectionDuration(health.ejectionCount);
    health.ejectionCount += 1;
    health.maximumAttempts = 0;
    health.slowdown = 1;
    this.#ejected.add(entry);
    this.#changePhase(entry, HealthPhase.Ejected, now, reason);
  }

  #computeMaximumEjected(): number {
    if (this.#targetCount < 2) return 0;
    return Math.max(1, Math.floor(this.#targetCount * maximumEjectedFraction));
  }

  #degrade(entry: TargetEntry, now: Milliseconds, reason: string): void {
    const { health } = entry;
    const halvings = Math.min(health.consecutiveFailures, 16);
    health.maximumAttempts = Math.max(1, entry.slots >> halvings);
    if (health.phase === HealthPhase.Degraded) return;
    this.#changePhase(entry, HealthPhase.Degraded, now, reason);
  }

  #raiseMaximumAttempts(entry: TargetEntry, now: Milliseconds): void {
    const { health } = entry;
    if (health.phase === HealthPhase.Healthy) return;
    if (health.phase === HealthPhase.Ejected) return;
    health.maximumAttempts += 1;
    if (health.maximumAttempts >= entry.slots) {
      health.maximumAttempts = Number.MAX_SAFE_INTEGER;
      this.#changePhase(entry, HealthPhase.Healthy, now, 'its tasks succeed');
      return;
    }
    if (health.phase !== HealthPhase.Probing) return;
    this.#changePhase(
      entry,
      HealthPhase.Recovering,
      now,
      'the probe succeeded',
    );
  }

  #decayEjections({ health }: TargetEntry, now: Milliseconds): void {
    if (health.phase !== HealthPhase.Healthy) return;
    const healthyMilliseconds = now - health.changedAt;
    const forgotten = Math.floor(
      healthyMilliseconds / ejectionDecayMilliseconds,
    );
    health.ejectionCount = Math.max(0, health.ejectionCount - forgotten);
  }

  #changePhase(
    entry: TargetEntry,
    phase: HealthPhase,
    now: Milliseconds,
    reason: string,
  ): void {
    if (phase === HealthPhase.Probing) this.#probing.add(entry);
    else this.#probing.delete(entry);
    entry.health.phase = phase;
    entry.health.changedAt = now;
    this.#listener(entry, phase, reason);
  }
}

/** Returns the consecutive failures that are unlikely to be chance when targets fail at `failureRate`. */
export function computeEjectionThreshold(failureRate: number): number {
  if (failureRate <= 0) return minimumConsecutiveFailures;
  if (failureRate >= 1) return maximumConsecutiveFailures;
  const needed = Math.ceil(
    Math.log(falseEjectionProbability) / Math.log(failureRate),
  );
  return Math.min(
    Math.max(needed, minimumConsecutiveFailures),
    maximumConsecutiveFailures,
  );
}

function computeEjectionDuration(earlierEjections: number): Milliseconds {
  const doubledMilliseconds =
    minimumEjectionMilliseconds * 2 ** earlierEjections;
  return Math.min(doubledMilliseconds, maximumEjectionMilliseconds);
}

/** Updates the average over about four tasks. A probe replaces the average, so that its target is judged by it alone. */
function updateSlowdown(health: TargetHealth, slowdown: number): void {
  const isProbing = health.phase === HealthPhase.Probing;
  const weight = isProbing ? 1 : newestSlowdownWeight;
  health.slowdown += (slowdown - health.slowdown) * weight;
}

function describeSlowdown(slowdown: number): string {
  return `its tasks take ${slowdown.toFixed(1)} times the usual run time`;
}

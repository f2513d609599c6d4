/** Index of the targets of one service by preference tier and free slots. */
import type { RandomSource } from '@cranberryturn/random';
import type {
  DeclaredResources,
  LogIndex,
  Milliseconds,
  RackName,
} from '@cranberryturn/types';

import { hasRoomNow } from './fit-resources.js';
import {
  countFreeSlots,
  HealthPhase,
  type TargetEntry,
} from './target-entry.js';

/** Requirements of one task for its target. */
export interface PlacementRequirements {
  /** Expected usage of the worker; undefined when nothing is known, which fits every worker. */
  readonly expectedUsage: DeclaredResources | undefined;
  /** Targets that must not get the task. */
  readonly excludedTargets: readonly TargetEntry[];
  /** Tasks of the same job in each rack; racks with fewer tasks are preferred. */
  readonly tasksPerRack: ReadonlyMap<RackName, number> | undefined;
  /** Whether the task may run more than once, so that it may probe a target that may fail. */
  readonly isRepeatable: boolean;
  /** Log index up to which target runs must be registered; undefined means any run. */
  readonly registeredUpTo: LogIndex | undefined;
}

/** Number of preference tiers. */
export const placementTierCount = 2;

/** Maximum number of acceptable targets of a bucket that are compared by their racks. */
const maximumSpreadCandidates = 4;

/** Index of the targets of one service. The cost of a choice does not grow with the number of targets. */
export class TargetIndex {
  readonly #random: RandomSource;
  readonly #tiers: TargetEntry[][][] = [];
  readonly #highestBuckets: number[] = [];
  readonly #entries = new Set<TargetEntry>();
  readonly #probingTargets = new Set<TargetEntry>();
  #slots = 0;
  /** Candidates compared by the last call of `chooseTarget`. */
  candidateCount = 0;

  constructor(random: RandomSource) {
    this.#random = random;
    for (let tier = 0; tier < placementTierCount; tier += 1) {
      this.#tiers.push([]);
      this.#highestBuckets.push(0);
    }
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Slots of all targets. */
  get slots(): number {
    return this.#slots;
  }

  entries(): IterableIterator<TargetEntry> {
    return this.#entries.values();
  }

  add(entry: TargetEntry, now: Milliseconds): void {
    this.#entries.add(entry);
    this.#slots += entry.slots;
    this.update(entry, now);
  }

  remove(entry: TargetEntry): void {
    if (!this.#entries.delete(entry)) return;
    this.#slots -= entry.slots;
    this.#probingTargets.delete(entry);
    this.#removeFromBucket(entry);
  }

  setSlots(entry: TargetEntry, slots: number, now: Milliseconds): void {
    this.#slots += slots - entry.slots;
    entry.slots = slots;
    this.update(entry, now);
  }

  /** Updates the index. Must be called after each change of the entry and when its backoff has ended. */
  update(entry: TargetEntry, now: Milliseconds): void {
    if (!this.#entries.has(entry)) return;
    if (entry.health.phase === HealthPhase.Probing)
      this.#probingTargets.add(entry);
    else if (this.#probingTargets.size > 0) this.#probingTargets.delete(entry);
    const free = entry.backoffUntil > now ? 0 : countFreeSlots(entry);
    const bucket = free > 0 ? free : -1;
    if (bucket === entry.bucket) return;
    this.#removeFromBucket(entry);
    if (bucket > 0) this.#addToBucket(entry, bucket);
  }

  /** Whether any target outside backoff has a free slot. */
  hasFreeSlots(): boolean {
    for (let tier = 0; tier < placementTierCount; tier += 1) {
      if (this.#findHighestBucket(tier) > 0) return true;
    }
    return false;
  }

  /** Chooses a target that awaits its probe, else one with the most free slots in the lowest tier, or undefined. */
  chooseTarget(requirements: PlacementRequirements): TargetEntry | undefined {
    this.candidateCount = 0;
    if (this.#probingTargets.size > 0) {
      const probingTarget = this.#chooseProbingTarget(requirements);
      if (probingTarget !== undefined) return probingTarget;
    }
    for (let tier = 0; tier < placementTierCount; tier += 1) {
      for (let free = this.#findHighestBucket(tier); free > 0; free -= 1) {
        const chosen = this.#chooseFromBucket(
          this.#tiers[tier]?.[free],
          requirements,
        );
        if (chosen !== undefined) return chosen;
      }
    }
    return undefined;
  }

  #chooseProbingTarget(
    requirements: PlacementRequirements,
  ): TargetEntry | undefined {
    for (const entry of this.#probingTargets) {
      if (entry.bucket < 0 || !canAccept(entry, requirements)) continue;
      this.candidateCount += 1;
      return entry;
    }
    return undefined;
  }

  #chooseFromBucket(
    bucket: readonly TargetEntry[] | undefined,
    requirements: PlacementRequirements,
  ): TargetEntry | undefined {
    if (bucket === undefined || bucket.length === 0) return undefined;
    const first = this.#random.below(bucket.length);
    let best: TargetEntry | undefined;
    let minimumRackTasks = Number.MAX_SAFE_INTEGER;
    let acceptableCount = 0;
    for (let step = 0; step < bucket.length; step += 1) {
      const entry = bucket[(first + step) % bucket.length];
      if (entry === undefined || !canAccept(entry, requirements)) continue;
      this.candidateCount += 1;
      acceptableCount += 1;
      const rackTasks = requirements.tasksPerRack?.get(entry.record.rack) ?? 0;
      if (rackTasks < minimumRackTasks) {
        best = entry;
        minimumRackTasks = rackTasks;
      }
      if (rackTasks === 0 || acceptableCount >= maximumSpreadCandidates) break;
    }
    return best;
  }

  #findHighestBucket(tier: number): number {
    const buckets = this.#tiers[tier] ?? [];
    let highest = this.#highestBuckets[tier] ?? 0;
    while (highest > 0 && (buckets[highest]?.length ?? 0) === 0) highest -= 1;
    this.#highestBuckets[tier] = highest;
    return highest;
  }

  #addToBucket(entry: TargetEntry, bucket: number): void {
    const buckets = this.#tiers[entry.tier] ?? [];
    while (buckets.length <= bucket) buckets.push([]);
    const members = buckets[bucket] ?? [];
    entry.bucket = bucket;
    entry.position = members.length;
    members.push(entry);
    if (bucket > (this.#highestBuckets[entry.tier] ?? 0))
      this.#highestBuckets[entry.tier] = bucket;
  }

  #removeFromBucket(entry: TargetEntry): void {
    if (entry.bucket < 0) return;
    const members = this.#tiers[entry.tier]?.[entry.bucket] ?? [];
    const last = members.pop();
    if (last !== undefined && last !== entry) {
      members[entry.position] = last;
      last.position = entry.position;
    }
    entry.bucket = -1;
  }
}

function canAccept(
  entry: TargetEntry,
  requirements: PlacementRequirements,
): boolean {
  const { health } = entry;
  if (health.phase === HealthPhase.Probing) {
    if (!requirements.isRepeatable && !health.canProbeWithAnyTask) return false;
  }
  if (
    requirements.excludedTargets.length > 0 &&
    requirements.excludedTargets.includes(entry)
  )
    return false;
  if (requirements.registeredUpTo !== undefined) {
    if (entry.record.registeredAt > requirements.registeredUpTo) return false;
  }
  if (requirements.expectedUsage === undefined) return true;
  return hasRoomNow(
    entry.record.resources,
    entry.reservedResources,
    requirements.expectedUsage,
  );
}

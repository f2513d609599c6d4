/** Targets of one service, indexed by preference tier and free slots. */
import type { RandomSource } from '@cranberryturn/random';
import type {
  DeclaredResources,
  LogIndex,
  Milliseconds,
  RackName,
} from '@cranberryturn/types';

import { fitsNow } from './fit-resources.js';
import {
  countFreeSlots,
  HealthPhase,
  type TargetEntry,
} from './target-entry.js';

/** What a task asks of its target. */
export interface PlacementNeed {
  /** What it is expected to use of a worker. */
  readonly needed: DeclaredResources | undefined;
  /** Targets that the task must not go to. */
  readonly excluded: readonly TargetEntry[];
  /** Tasks of the same job in each rack; less used racks are preferred. */
  readonly racks: ReadonlyMap<RackName, number> | undefined;
  /** Whether the task may be run again elsewhere, so that it may probe a doubtful target. */
  readonly repeatable: boolean;
  /** Only runs registered up to this position may take the task; undefined means any run. */
  readonly registeredUpTo: LogIndex | undefined;
}

/** Number of preference tiers. */
export const placementTiers = 2;

const candidatesForSpread = 4;

/** Targets of one service. Choosing costs the same for ten targets and for thousands. */
export class TargetIndex {
  readonly #random: RandomSource;
  readonly #tiers: TargetEntry[][][] = [];
  readonly #highest: number[] = [];
  readonly #entries = new Set<TargetEntry>();
  readonly #probes = new Set<TargetEntry>();
  #slots = 0;
  /** Candidates weighed by the last choice. */
  weighed = 0;

  constructor(random: RandomSource) {
    this.#random = random;
    for (let tier = 0; tier < placementTiers; tier += 1) {
      this.#tiers.push([]);
      this.#highest.push(0);
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
    this.#probes.delete(entry);
    this.#leaveBucket(entry);
  }

  changeSlots(entry: TargetEntry, slots: number, now: Milliseconds): void {
    this.#slots += slots - entry.slots;
    entry.slots = slots;
    this.update(entry, now);
  }

  /** Must be called after each change of the entry. */
  update(entry: TargetEntry, now: Milliseconds): void {
    if (!this.#entries.has(entry)) return;
    if (entry.health.phase === HealthPhase.Probed) this.#probes.add(entry);
    else if (this.#probes.size > 0) this.#probes.delete(entry);
    const free = entry.heldUntil > now ? 0 : countFreeSlots(entry);
    const bucket = free > 0 ? free : -1;
    if (bucket === entry.bucket) return;
    this.#leaveBucket(entry);
    if (bucket > 0) this.#enterBucket(entry, bucket);
  }

  /** Whether any target has a free slot. */
  hasFree(): boolean {
    for (let tier = 0; tier < placementTiers; tier += 1) {
      if (this.#highestBucket(tier) > 0) return true;
    }
    return false;
  }

  /** Chooses a target that waits for its probe, else the one with the most free slots in the best tier, or none. */
  choose(need: PlacementNeed): TargetEntry | undefined {
    this.weighed = 0;
    if (this.#probes.size > 0) {
      const probed = this.#chooseProbe(need);
      if (probed !== undefined) return probed;
    }
    for (let tier = 0; tier < placementTiers; tier += 1) {
      for (let free = this.#highestBucket(tier); free > 0; free -= 1) {
        const chosen = this.#chooseIn(this.#tiers[tier]?.[free], need);
        if (chosen !== undefined) return chosen;
      }
    }
    return undefined;
  }

  #chooseProbe(need: PlacementNeed): TargetEntry | undefined {
    for (const entry of this.#probes) {
      if (entry.bucket < 0 || !accepts(entry, need)) continue;
      this.weighed += 1;
      return entry;
    }
    return undefined;
  }

  #chooseIn(
    bucket: readonly TargetEntry[] | undefined,
    need: PlacementNeed,
  ): TargetEntry | undefined {
    if (bucket === undefined || bucket.length === 0) return undefined;
    const first = this.#random.below(bucket.length);
    let best: TargetEntry | undefined;
    let bestUse = Number.MAX_SAFE_INTEGER;
    let acceptable = 0;
    for (let step = 0; step < bucket.length; step += 1) {
      const entry = bucket[(first + step) % bucket.length];
      if (entry === undefined || !accepts(entry, need)) continue;
      this.weighed += 1;
      acceptable += 1;
      const use = need.racks?.get(entry.record.rack) ?? 0;
      if (use < bestUse) {
        best = entry;
        bestUse = use;
      }
      if (use === 0 || acceptable >= candidatesForSpread) break;
    }
    return best;
  }

  #highestBucket(tier: number): number {
    const buckets = this.#tiers[tier] ?? [];
    let highest = this.#highest[tier] ?? 0;
    while (highest > 0 && (buckets[highest]?.length ?? 0) === 0) highest -= 1;
    this.#highest[tier] = highest;
    return highest;
  }

  #enterBucket(entry: TargetEntry, bucket: number): void {
    const buckets = this.#tiers[entry.tier] ?? [];
    while (buckets.length <= bucket) buckets.push([]);
    const members = buckets[bucket] ?? [];
    entry.bucket = bucket;
    entry.position = members.length;
    members.push(entry);
    if (bucket > (this.#highest[entry.tier] ?? 0))
      this.#highest[entry.tier] = bucket;
  }

  #leaveBucket(entry: TargetEntry): void {
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

function accepts(entry: TargetEntry, need: PlacementNeed): boolean {
  const { health } = entry;
  if (health.phase === HealthPhase.Probed) {
    if (!need.repeatable && !health.probedByAnyTask) return false;
  }
  if (need.excluded.length > 0 && need.excluded.includes(entry)) return false;
  if (need.registeredUpTo !== undefined) {
    if (entry.record.registeredAt > need.registeredUpTo) return false;
  }
  if (need.needed === undefined) return true;
  return fitsNow(entry.record.resources, entry.reserved, need.needed);
}

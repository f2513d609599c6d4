/** One target run as a dispatcher sees it. */
import {
  type Milliseconds,
  type TargetLoad,
  type TargetRecord,
  TargetState,
} from '@cranberryturn/types';

import type { ReservedResources } from './fit-resources.js';

/** The health of a target, judged by the outcomes of its tasks. */
export enum HealthPhase {
  Healthy = 'healthy',
  /** It failed or was slow lately: it gets fewer tasks. */
  Degraded = 'doubted',
  /** It gets no tasks. */
  Ejected = 'ejected',
  /** It gets one task. */
  Probing = 'probed',
  /** It gets more tasks with each success. */
  Recovering = 'returning',
}

/** What is known of the health of a target. */
export interface TargetHealth {
  phase: HealthPhase;
  consecutiveFailures: number;
  /** Recent share of failed tasks, from 0 to 1. */
  failureRate: number;
  /** Recent run time relative to the service's; 1 is ordinary. */
  slowdown: number;
  outcomeCount: number;
  /** Ejections that still lengthen the next one. */
  ejectionCount: number;
  ejectedUntil: Milliseconds;
  changedAt: Milliseconds;
  /** Largest number of tasks of this dispatcher at the same time. */
  maximumAttempts: number;
  /** Whether a probe may be a task that must not run twice. */
  canProbeWithAnyTask: boolean;
}

/** One target run as a dispatcher sees it. Changed by its owner only; the index is told after each change. */
export interface TargetEntry {
  /** Changes when the run registers again. */
  record: TargetRecord;
  slots: number;
  state: TargetState;
  /** Whether the target said that it is leaving. */
  draining: boolean;
  /** Whether an operator takes the target out of service. */
  isWithdrawn: boolean;
  /** Attempts of this dispatcher that have not ended. */
  outstandingAttempts: number;
  /** Slots that other dispatchers are taken to hold since the last report. */
  slotsOfOthers: number;
  /** Slots that other dispatchers held at recent reports, on average. */
  averageSlotsOfOthers: number;
  reportedAt: Milliseconds;
  /** Whether the target was isLoadRequested for its load since the last report. */
  isLoadRequested: boolean;
  /** Shortest time seen between sending an attempt and its result, less its run time. */
  roundTripMilliseconds: Milliseconds;
  /** No attempt is sent before this time. */
  backoffUntil: Milliseconds;
  /** Refusals in a row. */
  consecutiveRefusals: number;
  readonly reservedResources: ReservedResources;
  readonly health: TargetHealth;
  /** Targets of a lower tier are preferred. */
  readonly tier: number;
  /** Place in the index; -1 when it is in no bucket. */
  bucket: number;
  position: number;
}

const initialRoundTripMilliseconds: Milliseconds = 5;
const roundTripGrowthFactor = 1.01;
const newestLoadWeight = 0.1;

/** Creates the entry of a newly registered target run. */
export function createTargetEntry(
  record: TargetRecord,
  load: TargetLoad,
  tier: number,
  now: Milliseconds,
): TargetEntry {
  const entry: TargetEntry = {
    record,
    slots: record.slots,
    state: TargetState.Active,
    draining: load.draining,
    isWithdrawn: false,
    outstandingAttempts: 0,
    slotsOfOthers: 0,
    averageSlotsOfOthers: 0,
    reportedAt: now,
    isLoadRequested: false,
    roundTripMilliseconds: initialRoundTripMilliseconds,
    backoffUntil: 0,
    consecutiveRefusals: 0,
    reservedResources: { processors: 0, memoryMebibytes: 0, accelerators: 0 },
    health: {
      phase: HealthPhase.Healthy,
      consecutiveFailures: 0,
      failureRate: 0,
      slowdown: 1,
      outcomeCount: 0,
      ejectionCount: 0,
      ejectedUntil: 0,
      changedAt: now,
      maximumAttempts: Number.MAX_SAFE_INTEGER,
      canProbeWithAnyTask: false,
    },
    tier,
    bucket: -1,
    position: -1,
  };
  recordLoad(entry, load, 0, now);
  return entry;
}

/** Learns the round trip from an attempt that ended `elapsed` after it was sent. */
export function recordRoundTrip(
  entry: TargetEntry,
  elapsedMilliseconds: Milliseconds,
  runMilliseconds: Milliseconds,
): void {
  const measuredMilliseconds = Math.max(
    0,
    elapsedMilliseconds - runMilliseconds,
  );
  entry.roundTripMilliseconds = Math.min(
    measuredMilliseconds,
    entry.roundTripMilliseconds * roundTripGrowthFactor,
  );
}

/**
 * Takes in a load report. Own attempts are known exactly, so only the others' part is learned from it.
 * A report that shows fewer than usual is trusted by half, because it is old when it is used: the target that looks most free
 * is most often the one whose report is the oldest.
 * `underway` own attempts were sent too late to be counted in the report.
 */
export function recordLoad(
  entry: TargetEntry,
  load: TargetLoad,
  unreportedAttempts: number,
  now: Milliseconds,
): void {
  const busySlots = entry.slots - load.freeSlots + load.queuedTasks;
  const slotsOfOthers = Math.max(
    0,
    busySlots - entry.outstandingAttempts + unreportedAttempts,
  );
  entry.averageSlotsOfOthers +=
    (slotsOfOthers - entry.averageSlotsOfOthers) * newestLoadWeight;
  entry.slotsOfOthers = Math.max(
    slotsOfOthers,
    Math.round((slotsOfOthers + entry.averageSlotsOfOthers) / 2),
  );
  entry.draining = load.draining;
  entry.reportedAt = now;
  entry.isLoadRequested = false;
}

/** Number of attempts that this dispatcher may send now; 0 or less means none. */
export function countFreeSlots(entry: TargetEntry): number {
  if (entry.state !== TargetState.Active || entry.draining) return 0;
  if (entry.isWithdrawn) return 0;
  const { slots, outstandingAttempts, slotsOfOthers, health } = entry;
  return Math.min(
    slots - outstandingAttempts - slotsOfOthers,
    health.maximumAttempts - outstandingAttempts,
  );
}

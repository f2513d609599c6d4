/** State of one target run in a dispatcher: load, health and reserved resources. */
import {
  type Milliseconds,
  type TargetLoad,
  type TargetRecord,
  TargetState,
} from '@cranberryturn/types';

import type { ReservedResources } from './fit-resources.js';

/** Health of a target, derived from the outcomes of its tasks. */
export enum HealthPhase {
  Healthy = 'healthy',
  /** The target failed tasks recently or was slow, and gets fewer tasks. */
  Degraded = 'doubted',
  /** The target gets no tasks. */
  Ejected = 'ejected',
  /** The ejection has ended, and the target gets one task as a probe. */
  Probing = 'probed',
  /** The probe succeeded, and each further success allows one more task. */
  Recovering = 'returning',
}

/** Health of a target and the averages behind it. */
export interface TargetHealth {
  phase: HealthPhase;
  consecutiveFailures: number;
  /** Moving average of failed tasks, from 0 to 1. */
  failureRate: number;
  /** Moving average of run time as a multiple of the expected run time; 1 is normal. */
  slowdown: number;
  /** Outcomes and stragglers recorded so far. */
  outcomeCount: number;
  /** Earlier ejections that lengthen the next one; decays while the target is healthy. */
  ejectionCount: number;
  ejectedUntil: Milliseconds;
  /** Time of the last change of phase. */
  changedAt: Milliseconds;
  /** Maximum number of concurrent attempts of this dispatcher. */
  maximumAttempts: number;
  /** Whether the probe may be a task that must not run twice. */
  canProbeWithAnyTask: boolean;
}

/** State of one target run. After each change, the owner must call `TargetIndex.update`. */
export interface TargetEntry {
  /** Replaced when the run registers again. */
  record: TargetRecord;
  slots: number;
  state: TargetState;
  /** Whether the target announced that it leaves. */
  draining: boolean;
  /** Whether an operator removed or drained the worker, its rack or its data centre. */
  isWithdrawn: boolean;
  /** Attempts of this dispatcher that have not ended. */
  outstandingAttempts: number;
  /** Estimated slots in use by other dispatchers since the last load report. */
  slotsOfOthers: number;
  /** Moving average of the slots in use by other dispatchers at load reports. */
  averageSlotsOfOthers: number;
  /** Time of the last load report, or of the last assumption in its place. */
  reportedAt: Milliseconds;
  /** Whether a load report was requested since the last one. */
  isLoadRequested: boolean;
  /** Minimum time between sending an attempt and its result, less the run time; grows slowly to follow changes. */
  roundTripMilliseconds: Milliseconds;
  /** No attempt is sent before this time. */
  backoffUntil: Milliseconds;
  /** Consecutive refused attempts; 0 after an attempt that was started. */
  consecutiveRefusals: number;
  readonly reservedResources: ReservedResources;
  readonly health: TargetHealth;
  /** Preference tier from 0; lower tiers are preferred. */
  readonly tier: number;
  /** Bucket in the index, which is the number of free slots; -1 when the target is in none. */
  bucket: number;
  /** Position in the bucket. */
  position: number;
}

/** Round trip assumed before the first measurement. */
const initialRoundTripMilliseconds: Milliseconds = 5;
/** Growth of the minimum with each result that is slower. */
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

/** Updates the round trip from an attempt whose result arrived `elapsedMilliseconds` after the attempt was sent. */
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
 * Records a load report. Own attempts are known exactly, so the report only gives the slots of other dispatchers.
 * A report of fewer slots than average is averaged with that average, because reports are stale when they are used:
 * the target that seems to have the most free slots often is the one with the oldest report.
 * `unreportedAttempts` own attempts were sent too late to be in the report.
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

/** Counts the attempts that this dispatcher may send now; 0 or less means none. */
export function countFreeSlots(entry: TargetEntry): number {
  if (entry.state !== TargetState.Active || entry.draining) return 0;
  if (entry.isWithdrawn) return 0;
  const { slots, outstandingAttempts, slotsOfOthers, health } = entry;
  return Math.min(
    slots - outstandingAttempts - slotsOfOthers,
    health.maximumAttempts - outstandingAttempts,
  );
}

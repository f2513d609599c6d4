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
  Doubted = 'doubted',
  /** It gets no tasks. */
  Ejected = 'ejected',
  /** It gets one task. */
  Probed = 'probed',
  /** It gets more tasks with each success. */
  Returning = 'returning',
}

/** What is known of the health of a target. */
export interface TargetHealth {
  phase: HealthPhase;
  consecutiveFailures: number;
  /** Recent share of failed tasks, from 0 to 1. */
  failureShare: number;
  /** Recent run time relative to the service's; 1 is ordinary. */
  slowness: number;
  outcomes: number;
  /** Ejections that still lengthen the next one. */
  ejections: number;
  ejectedUntil: Milliseconds;
  changedAt: Milliseconds;
  /** Largest number of tasks of this dispatcher at the same time. */
  allowance: number;
  /** Whether a probe may be a task that must not run twice. */
  probedByAnyTask: boolean;
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
  withdrawn: boolean;
  /** Attempts of this dispatcher that have not ended. */
  outstanding: number;
  /** Slots that other dispatchers are taken to hold since the last report. */
  othersBusy: number;
  /** Slots that other dispatchers held at recent reports, on average. */
  othersUsual: number;
  reportedAt: Milliseconds;
  /** Whether the target was asked for its load since the last report. */
  asked: boolean;
  /** Shortest time seen between sending an attempt and its result, less its run time. */
  roundTrip: Milliseconds;
  /** No attempt is sent before this time. */
  heldUntil: Milliseconds;
  /** Refusals in a row. */
  refusals: number;
  readonly reserved: ReservedResources;
  readonly health: TargetHealth;
  /** Targets of a lower tier are preferred. */
  readonly tier: number;
  /** Place in the index; -1 when it is in no bucket. */
  bucket: number;
  position: number;
}

const unmeasuredRoundTripMilliseconds: Milliseconds = 5;
const roundTripGrowth = 1.01;
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
    withdrawn: false,
    outstanding: 0,
    othersBusy: 0,
    othersUsual: 0,
    reportedAt: now,
    asked: false,
    roundTrip: unmeasuredRoundTripMilliseconds,
    heldUntil: 0,
    refusals: 0,
    reserved: { processors: 0, memoryMebibytes: 0, accelerators: 0 },
    health: {
      phase: HealthPhase.Healthy,
      consecutiveFailures: 0,
      failureShare: 0,
      slowness: 1,
      outcomes: 0,
      ejections: 0,
      ejectedUntil: 0,
      changedAt: now,
      allowance: Number.MAX_SAFE_INTEGER,
      probedByAnyTask: false,
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
  elapsed: Milliseconds,
  runMilliseconds: Milliseconds,
): void {
  const measured = Math.max(0, elapsed - runMilliseconds);
  entry.roundTrip = Math.min(measured, entry.roundTrip * roundTripGrowth);
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
  underway: number,
  now: Milliseconds,
): void {
  const busy = entry.slots - load.freeSlots + load.queuedTasks;
  const others = Math.max(0, busy - entry.outstanding + underway);
  entry.othersUsual += (others - entry.othersUsual) * newestLoadWeight;
  entry.othersBusy = Math.max(
    others,
    Math.round((others + entry.othersUsual) / 2),
  );
  entry.draining = load.draining;
  entry.reportedAt = now;
  entry.asked = false;
}

/** Number of attempts that this dispatcher may send now; 0 or less means none. */
export function countFreeSlots(entry: TargetEntry): number {
  if (entry.state !== TargetState.Active || entry.draining) return 0;
  if (entry.withdrawn) return 0;
  const { slots, outstanding, othersBusy, health } = entry;
  return Math.min(
    slots - outstanding - othersBusy,
    health.allowance - outstanding,
  );
}

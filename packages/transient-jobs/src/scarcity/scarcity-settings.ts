/** Settings of admission under scarcity. */
import type { Milliseconds } from '@cranberryturn/types';

/** Settings of admission under scarcity, with their units. */
export interface ScarcitySettings {
  /** Age from which on a load report is left out. */
  readonly maximumReportAgeMilliseconds: Milliseconds;
  /** Smallest share of its jobs that a queue keeps, as a part of the share of the best-served queue. */
  readonly floorShare: number;
  /** Smallest share of its wide jobs that a queue keeps, as a part of the share of all its jobs. */
  readonly wideJobShare: number;
  /** Multiple of the objective within which a job must be expected to end that a floor admits. */
  readonly floorEndFactor: number;
  /** The same for a job that only gets capacity that no other queue uses; 0 admits none. */
  readonly leftOverEndFactor: number;
  /** The same for the job of a caller that returns after the time named in its refusal. */
  readonly returnEndFactor: number;
  /** Time without a job that cannot end in time after which scarcity ends. */
  readonly holdMilliseconds: Milliseconds;
}

/** Default settings. */
export const defaultScarcitySettings: ScarcitySettings = {
  // Sidecars send a message at least every 400 ms; the placement uses the same bound.
  maximumReportAgeMilliseconds: 550,
  floorShare: 0.5,
  wideJobShare: 0.5,
  floorEndFactor: 2,
  // A job is of some use up to three times its objective; the margin is for what is late beyond its expectation.
  leftOverEndFactor: 2.5,
  // 1.25 cost more in late jobs than the returning callers gained.
  returnEndFactor: 1.1,
  // Load waves of the users' deployments have a period of 11 s.
  holdMilliseconds: 12_000,
};

/** Default tuning of the replicated log. */
import type { LogTuning } from './log-types.js';

/** Defaults for hosts with round trips of a few milliseconds and disk syncs of up to 100 ms. */
export const defaultLogTuning: LogTuning = {
  heartbeatInterval: 100,
  observerHeartbeatInterval: 500,
  minimumElectionTimeout: 400,
  maximumElectionTimeout: 800,
  firstElectionTimeout: 40,
  firstElectionInterval: 60,
  peerTimeout: 500,
  proposeTimeout: 5_000,
  promoteTimeout: 500,
  diskHangLimit: 1_000,
  stopTimeout: 5_000,
  maximumBatchBytes: 1024 * 1024,
  maximumSegmentBytes: 16 * 1024 * 1024,
  snapshotEntries: 100_000,
  snapshotBytes: 64 * 1024 * 1024,
  trailingEntries: 10_000,
  snapshotChunkBytes: 256 * 1024,
};

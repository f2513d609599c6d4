/** Replicated log: leader election, replication, storage and snapshots. */
export * from './adapters/file-log-disk.js';
export * from './adapters/volatile-log-disk.js';
export { planMemberChange } from './core/membership.js';
export * from './entries.js';
export * from './fakes/memory-log-disk.js';
export * from './log-types.js';
export * from './members.js';
export * from './ports/log-disk.js';
export * from './ports/peer-link.js';
export * from './ports/state-machine.js';
export * from './open-replicated-log.js';
export * from './tuning.js';
export * from './measure-commit-rate.js';

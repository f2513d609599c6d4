/** Roster of targets, dispatchers and control hosts; leases and leaving. */
export * from './apply-roster-changes.js';
export * from './ports/roster-feed.js';
export * from './register-runs.js';
export * from './roster-state.js';

/** Roster of targets and dispatchers: registration, retirement and expiry of runs. */
export * from './apply-roster-changes.js';
export * from './ports/roster-feed.js';
export * from './register-runs.js';
export * from './roster-state.js';

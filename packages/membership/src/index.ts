/** Roster of targets, dispatchers and control hosts; leases and leaving. */
export * from './ports/roster-feed.js';

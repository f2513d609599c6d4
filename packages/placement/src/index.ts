/** Chooses the target of each task, and tracks target health, run times and usage. */
export * from './fit-resources.js';
export * from './health-tracker.js';
export * from './run-time-model.js';
export * from './target-entry.js';
export * from './target-index.js';
export * from './usage-model.js';

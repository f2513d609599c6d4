/** Chooses the target of each task and watches target health. */
export * from './fit-resources.js';
export * from './health-tracker.js';
export * from './run-time-model.js';
export * from './target-entry.js';
export * from './target-index.js';
export * from './usage-model.js';

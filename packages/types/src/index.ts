/** Types shared by every package. */
export * from './attempts.js';
export * from './capacity.js';
export * from './claims.js';
export * from './configuration.js';
export * from './crashes.js';
export * from './decisions.js';
export * from './evacuations.js';
export * from './identifiers.js';
export * from './intents.js';
export * from './jobs.js';
export * from './logging.js';
export * from './publications.js';
export * from './queues.js';
export * from './roster.js';
export * from './runs.js';
export * from './targets.js';

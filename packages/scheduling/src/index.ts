/** Brings admission, placement, health and retries together for one dispatcher. */
export * from './create-scheduler.js';
export * from './ports/scheduler.js';

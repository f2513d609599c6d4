/** Timer service with a system clock and a manual clock for tests. */
export * from './manual-timer-service.js';
export * from './rethrow-later.js';
export * from './system-timer-service.js';
export * from './timer-service.js';
export * from './watch-pauses.js';
export * from './watch-suspension.js';

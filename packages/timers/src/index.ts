/** The timer service: system clock and manual clock. */
export * from './manual-timer-service.js';
export * from './system-timer-service.js';
export * from './timer-service.js';
export * from './watch-suspension.js';

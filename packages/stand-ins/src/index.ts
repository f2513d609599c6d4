/** Stand-in target and stand-in platform for tests, the bench and `cranberry-local`. */
export * from './running-tasks.js';
export * from './start-counts.js';
export * from './start-stand-in-platform.js';
export * from './start-stand-in-target.js';
export * from './target-fault.js';
export * from './task-payload.js';
export * from './usage-history.js';

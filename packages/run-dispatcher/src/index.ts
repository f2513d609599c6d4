/** A dispatcher of transient jobs. */
export * from './start-run-dispatcher.js';
export * from './sidecar-session-times.js';

/** Runs every role in one process, and the demonstration. */
export * from './compose-settings.js';
export * from './create-missing-tokens.js';
export * from './find-free-ports.js';
export * from './prepare-layout.js';
export * from './run-demonstration.js';
export * from './start-local-system.js';

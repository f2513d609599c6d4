/** Every role in one process, and the demonstration. */
export * from './compose-settings.js';
export * from './create-tokens.js';
export * from './find-free-ports.js';
export * from './prepare-places.js';
export * from './run-demonstration.js';
export * from './start-local-system.js';

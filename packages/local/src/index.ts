/** Every role in one process, and the demonstration. */
export * from './find-free-ports.js';
export * from './run-demonstration.js';
export * from './start-local-system.js';

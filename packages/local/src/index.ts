/** Every role in one process, and the demonstration. */
export * from './find-free-ports.js';
export * from './local-parts.js';
export * from './start-local-cluster.js';

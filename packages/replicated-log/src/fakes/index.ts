/** Fakes of the ports, for tests in this package and others. */
export * from './fake-peer-network.js';
export * from './memory-log-disk.js';

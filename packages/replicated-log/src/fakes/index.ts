/** Fakes of the ports, for tests of the log and of the programs that use it. */
export * from './fake-peer-network.js';
export * from './memory-log-disk.js';

/** Counters, gauges and distributions served at /metrics. */
export * from './distribution-recorder.js';
export * from './measure-decisions.js';
export * from './metrics.js';
export * from './names.js';
export * from './queue-metrics.js';

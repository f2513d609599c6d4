/** Invariant checker and load generator. */
export * from './checker/check-decisions.js';
export * from './checker/read-decision-log.js';
export * from './checker/violation.js';
export * from './load/create-http-job-client.js';
export * from './load/deployment-shape.js';
export * from './load/job-client.js';
export * from './load/plan-load.js';
export * from './load/run-load.js';
export * from './load/summarize-load.js';

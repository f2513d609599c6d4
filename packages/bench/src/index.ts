/** Load generator, stand-ins, trace replay, invariant checker and reports. */
export * from './checker/check-decisions.js';
export * from './checker/read-decision-log.js';
export * from './checker/violation.js';
export * from './load/create-http-job-client.js';
export * from './load/deployment-shape.js';
export * from './load/job-client.js';
export * from './load/plan-load.js';
export * from './load/run-load.js';
export * from './load/summarize-load.js';
export * from './stand-ins/running-tasks.js';
export * from './stand-ins/start-counts.js';
export * from './stand-ins/start-stand-in-platform.js';
export * from './stand-ins/start-stand-in-target.js';
export * from './stand-ins/target-fault.js';
export * from './stand-ins/task-payload.js';
export * from './stand-ins/usage-history.js';

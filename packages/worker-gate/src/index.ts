/** Executes runs on one worker on behalf of all dispatchers. */
export * from './ports/worker.js';
export * from './start-worker-gate.js';
export type { WorkerGate, WorkerGateOptions } from './worker-gate-options.js';
export type { WorkerReport } from './worker-report.js';
export type { DispatcherSession } from './dispatcher-session.js';
export * from './fakes/fake-worker-state.js';
export * from './fakes/fake-worker.js';
export * from './fakes/open-incarnation-port.js';

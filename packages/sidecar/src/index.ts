/** The sidecar that runs beside each target and starts each non-idempotent task at most once. */
export * from './adapters/http-platform.js';
export * from './adapters/http-target.js';
export * from './attempt-ledger.js';
export * from './poll-usage.js';
export * from './ports/platform.js';
export * from './ports/target.js';
export * from './run-attempts.js';
export * from './run-under-lease.js';
export * from './start-sidecar.js';
export * from './start-sidecar-role.js';

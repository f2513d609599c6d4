/** Command line, settings, signals, exit codes and HTTP listeners of all programs. */
export type { EarlyListener } from './adapters/early-listener.js';
export * from './adapters/http-listener.js';
export * from './adapters/node-program-host.js';
export * from './finish-within.js';
export * from './intake/intake.js';
export * from './intake/intake-limits.js';
export { holdForWork } from './intake/receive-requests.js';
export * from './has-body.js';
export * from './measure-network.js';
export * from './register-wasted-session-messages.js';
export * from './ports/program-host.js';
export * from './product-version.js';
export * from './role-environment.js';
export * from './role-network.js';
export * from './handle-unexpected-errors.js';
export * from './run-role-program.js';
export * from './serve-operations.js';

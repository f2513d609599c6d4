/** The control role: claims, configuration and roster over a replicated log. */
export * from './administration-api.js';
export * from './administration-calls.js';
export type {
  AdministrationVariables,
  Operator,
} from './administration-responses.js';
export * from './control-node.js';
export * from './control-operations.js';
export * from './control-state.js';
export * from './fakes/memory-log.js';
export * from './in-force-table.js';
export * from './order-evacuations.js';
export * from './parse-address.js';
export * from './start-control.js';
export * from './adapters/serve-administration.js';
export * from './start-control-role.js';
export * from './fakes/control-cluster.js';
export * from './fakes/faulty-network.js';
export * from './measures/measure-claims.js';
export * from './measures/measure-followers.js';
export * from './measures/measure-leaderless-time.js';

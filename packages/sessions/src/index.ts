/** Reliable message sessions that survive the loss of a connection. */
export * from './accept-sessions.js';
export * from './choose-session-peers.js';
export * from './open-session.js';
export * from './plan-sessions.js';
export * from './rendezvous-hash.js';
export * from './session.js';
export * from './session-liveness.js';
export * from './session-types.js';

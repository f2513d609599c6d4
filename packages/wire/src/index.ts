/** Protocol between our processes: messages, codec, connections and remote calls. */
export type { HandshakeError } from './adapters/authenticate-socket.js';
export * from './adapters/web-socket-network.js';
export * from './codec.js';
export * from './dial-within.js';
export * from './fakes/memory-network.js';
export * from './format-address.js';
export * from './frame-queue.js';
export * from './frame-writer.js';
export * from './handshake.js';
export * from './message-error.js';
export * from './messages/control-messages.js';
export * from './messages/dispatcher-messages.js';
export * from './messages/run-messages.js';
export * from './messages/target-messages.js';
export * from './ports/connection.js';
export * from './remote-calls.js';
export * from './shapes.js';
export * from './wrap-connections.js';

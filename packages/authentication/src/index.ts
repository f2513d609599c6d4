/** Bearer tokens of callers and operators, and the shared key between our processes. */
export * from './handshake.js';
export * from './read-shared-key-file.js';
export * from './shared-keys.js';
export * from './tokens.js';

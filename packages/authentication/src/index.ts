/** Bearer tokens of teams and operators, and shared-key authentication between processes. */
export * from './handshake.js';
export * from './read-shared-key-file.js';
export * from './shared-keys.js';
export * from './tokens.js';

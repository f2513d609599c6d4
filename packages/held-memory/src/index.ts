/** Bounds the memory that callers make one process hold. */
export * from './held-memory.js';

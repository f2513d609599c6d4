/** Structured logs and decision log lines. */
export * from './decision-log.js';
export * from './logger.js';
export * from './memory-decision-log.js';
export * from './redact.js';

/** Structured logs and decision logs. */
export * from './decision-log.js';
export * from './logger.js';
export * from './memory-decision-log.js';
export * from './redact.js';

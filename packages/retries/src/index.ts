/** Retry budget, backoff and hedging policy. */
export * from './decide-retry.js';
export * from './retry-budget.js';

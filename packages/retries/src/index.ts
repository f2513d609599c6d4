/** Retry budget, backoff and hedging policy. */
export {};

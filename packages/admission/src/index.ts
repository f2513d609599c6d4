/** Quotas, limits, fair queues and early refusal. */
export {};

/** Admission control: quotas, limits, fair queues and early refusal. */
export * from './decide-admission.js';
export * from './divide-limit.js';
export * from './fair-queue.js';
export * from './job-refusal.js';
export * from './linked-list.js';
export * from './ports/share-exchange.js';
export * from './ranked-heap.js';
export * from './roster-confirmations.js';
export * from './share-ledger.js';
export * from './task-limiter.js';

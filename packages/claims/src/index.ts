/** Ownership of jobs: claims, ownership epochs and retention. */
export * from './apply-claim.js';
export * from './claim-retention.js';
export * from './claim-table.js';
export * from './ports/claim-store.js';

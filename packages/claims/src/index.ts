/** Ownership of jobs: claims, ownership epochs and retention. */
export * from './ports/claim-store.js';

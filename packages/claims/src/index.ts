/** Ownership of jobs: claims, ownership epochs and retention. */
export {};

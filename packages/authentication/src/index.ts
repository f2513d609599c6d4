/** Bearer token digests and the shared-key challenge between processes. */
export {};

/** The replicated log: leader election, replication, storage and snapshots. */
export {};

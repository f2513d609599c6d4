/** Reliable message sessions that outlive a connection. */
export {};

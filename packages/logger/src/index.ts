/** Structured logs and decision log lines. */
export {};

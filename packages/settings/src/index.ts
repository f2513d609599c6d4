/** Reads and checks settings files in JSON with comments. */
export {};

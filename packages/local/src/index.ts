/** Every role in one process, and the demonstration. */
export {};

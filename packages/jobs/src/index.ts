/** Job table and collection of answers. */
export {};

/** Job table and collection of answers. */
export * from './collect-answers.js';
export * from './digest-job-body.js';
export * from './held-bytes.js';
export * from './job-table.js';

/** Jobs that need not be stored. */
export * from './create-transient-jobs.js';
export * from './transient-job.js';
export * from './transient-jobs-options.js';

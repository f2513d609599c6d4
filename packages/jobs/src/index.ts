/** The job table of a dispatcher, and the collection of task answers into job results. */
export * from './collect-answers.js';
export * from './digest-job-body.js';
export * from './measure-sizes.js';
export * from './job-table.js';
